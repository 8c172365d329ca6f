"""Long requests beside planned stops: what callers get, and when stopping gateways end."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import socket
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

import anyio
import anyio.abc
import anyio.to_thread
import httpx
import msgspec

from stagewalk.gateway.ports.partitioned_log import Partition
from tests.soak.asgi import Call, LostAnswer, Reply, Send, application, serve, start_answer
from tests.soak.faults import Faults
from tests.soak.touch import SOAK
from tests.soak.world import HOST, GatewayProcess, World, own_address

LONG_SERVICE = "long"
LONG_WORKERS = 4
ROUTE_SECONDS = 30.0
"""Time-out of the routes, beyond every grace period."""

LONG_ROUTES: list[dict] = [
    {
        "allowed_regions": [],
        "name": f"long-{kind}",
        "host": HOST,
        "path_prefix": f"/long-{kind}/",
        "type": {"once": "unsafe", "ask": "safe"}.get(kind, "streaming"),
        "resumable": kind == "resume",
        "timeout_ms": int(ROUTE_SECONDS * 1000),
        "target_latency_ms": 400,
        "service": LONG_SERVICE,
        "max_attempts": 3,
    }
    for kind in ("stream", "resume", "once", "ask")
]
LONG_SERVICES: list[dict] = [{"name": LONG_SERVICE, "max_connections": 2_000}]

ANNOUNCEMENTS = Partition("keyed.servers", 0)
HEARTBEAT_SECONDS = 1.0
PIECES = 10
WORK_SECONDS = (0.02, 0.02, 0.2, 1.0, 3.0, 6.0, 12.0)
DEADLINE_SECONDS = (1.5, 4.0, 10.0, ROUTE_SECONDS)
LONG_CALLERS = 40
SILENT_CALLERS = 3
SILENT_SECONDS = 10.0
SILENT_PIECE_BYTES = 400_000
BREAKING_SHARE = 0.15
"""Of the first attempts at resumable streams, those that break off after some pieces."""

FAILING_SHARE = 0.5
"""Of the attempts that resume a stream, those that are answered with a status."""

FAILING_STATUSES = (500, 503, 504, 422)

GRACE_SECONDS = (3.0, 5.0, 8.0, 12.0)
STOP_GAP_SECONDS = (0.1, 3.0)
"""Between the beginnings of two stops, which may overlap."""

RESTART_SECONDS = (0.0, 1.5)
EXCUSED_SENT_SECONDS = 3.0
EXCUSED_WORK_SHARE = 5.0 / 6.0
"""A request sent this soon after SIGTERM may be cut if its worker is still at work after this share
of the grace period."""

UNREAD_SECONDS = 0.2
"""A connection that closes this soon after a request was sent may not have been read."""

WHOLE_PROMISE = "a stream that looks complete is whole"
CUT_PROMISE = "a planned stop cuts off nothing"
GRACE_PROMISE = "a stopping process ends within its grace"
TOLD_PROMISE = "a failure is the worker's or says what the gateway knows"
OWN_FAILURES = frozenset({408, 502, 503, 504})


@dataclass
class LongRun:
    """What workers did for one request."""

    attempts: int = 0
    broke_off: bool = False
    """Whether the last attempt broke off, or failed."""
    at_work: int = 0
    ended_at: float = -math.inf
    """When a worker last stopped working on it."""


class LongWorker:
    """A worker that takes as long as its request says, and fails in some resumed streams."""

    def __init__(self, name: str, world: World, runs: dict[str, LongRun]) -> None:
        self._name = name
        self._world = world
        self._runs = runs
        self._address = own_address()
        self._born = time.time_ns() // 1_000_000

    async def run(self) -> None:
        """Serve and announce itself until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve, application(self._handle), self._address, anyio.Event())
            beat = 0
            while True:
                beat += 1
                self._world.log.put_key(ANNOUNCEMENTS, self._name, self._entry(beat))
                await anyio.sleep(HEARTBEAT_SECONDS)

    def _entry(self, beat: int) -> bytes:
        return msgspec.json.encode(
            {
                "service": LONG_SERVICE,
                "address": str(self._address),
                "zone": "z1",
                "version": "1",
                "slots": 64,
                "state": "ready",
                "sequence": beat,
                "cold_remaining_ms": 0,
                "born": self._born,
                "models": [],
            }
        )

    async def _handle(self, call: Call, send: Send) -> Reply | None:
        if call.headers.get("x-target-instance", self._name) != self._name:
            return Reply(421, headers=self._headers(call))
        request = call.headers["x-request-id"]
        run = self._runs.setdefault(request, LongRun())
        run.attempts += 1
        run.at_work += 1
        self._world.truth.runs[request] += 1
        try:
            return await self._work(call, send, run)
        finally:
            run.at_work -= 1
            run.ended_at = time.monotonic()

    async def _work(self, call: Call, send: Send, run: LongRun) -> Reply | None:
        request = call.headers["x-request-id"]
        seconds = float(call.headers["x-work-seconds"])
        run.broke_off = False
        if call.path.startswith(("/long-once/", "/long-ask/")):
            await anyio.sleep(seconds)
            return Reply(200, request.encode(), self._headers(call))
        chooser = random.Random(f"{request} {run.attempts}")
        resumed = run.attempts > 1
        if resumed and chooser.random() < FAILING_SHARE:
            run.broke_off = True
            return Reply(chooser.choice(FAILING_STATUSES), b"failed", self._headers(call))
        resumable = call.path.startswith("/long-resume/")
        breaks = resumable and not resumed and chooser.random() < BREAKING_SHARE
        last = chooser.randint(0, PIECES - 1) if breaks else PIECES
        head = (*self._headers(call), ("content-type", "text/event-stream"))
        await start_answer(send, 200, head)
        padding = "." * int(call.headers.get("x-piece-bytes", "0"))
        for number in range(int(call.headers.get("last-event-id", "0")) + 1, last + 1):
            await anyio.sleep(seconds / PIECES)
            piece = f"id: {number}\ndata: {request}-{number}{padding}\n\n".encode()
            await send({"type": "http.response.body", "body": piece, "more_body": True})
        if breaks:
            run.broke_off = True
            raise LostAnswer
        await send({"type": "http.response.body", "body": b"", "more_body": False})
        return None

    def _headers(self, call: Call) -> tuple[tuple[str, str], ...]:
        return (
            ("x-request-id", call.headers.get("x-request-id", "")),
            ("x-response-signature", f"sig-{self._name}"),
        )


def whole(request: str) -> str:
    """Return the only right text of a stream."""
    return "".join(f"id: {n}\ndata: {request}-{n}\n\n" for n in range(1, PIECES + 1))


@dataclass
class StopRecord:
    """The last stop of a gateway."""

    signalled_at: float = math.inf
    grace_seconds: float = 0.0


@dataclass
class StopScene:
    """Long workers, their callers and the stops of the gateways, put together."""

    world: World
    seed: int
    stop: anyio.Event = field(default_factory=anyio.Event)
    runs: dict[str, LongRun] = field(default_factory=dict)
    stops: dict[str, StopRecord] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)
    silent: Counter[str] = field(default_factory=Counter)

    def start(self, servers: anyio.abc.TaskGroup, tasks: anyio.abc.TaskGroup) -> None:
        """Start workers, and callers that run until they are told to stop."""
        for number in range(LONG_WORKERS):
            servers.start_soon(LongWorker(f"long-{number}", self.world, self.runs).run)
        for number in range(LONG_CALLERS):
            tasks.start_soon(self._call_again_and_again, number)
        for number in range(SILENT_CALLERS):
            tasks.start_soon(self._read_nothing, number)

    def counts(self) -> dict[str, int]:
        """Return counts for the report."""
        return dict(sorted(self.outcomes.items())) | dict(self.silent)

    async def _call_again_and_again(self, number: int) -> None:
        chooser = random.Random(f"long caller {number} {self.seed}")
        kept = None if number % 2 else 0
        limits = httpx.Limits(max_keepalive_connections=kept, keepalive_expiry=None)
        async with httpx.AsyncClient(trust_env=False, limits=limits) as client:
            while not self.stop.is_set():
                await self._call(client, chooser)
                await anyio.sleep(chooser.uniform(0.0, 0.1))

    async def _call(self, client: httpx.AsyncClient, chooser: random.Random) -> None:
        gateway = chooser.choice(self.world.gateways)
        request = uuid.UUID(int=chooser.getrandbits(128)).hex
        kind = chooser.choice(("stream", "resume", "once", "ask"))
        deadline = chooser.choice(DEADLINE_SECONDS)
        headers = {
            "host": HOST,
            "x-request-id": request,
            "x-deadline-ms": str(int(deadline * 1000)),
            "x-work-seconds": str(chooser.choice(WORK_SECONDS)),
        }
        if kind in ("stream", "once"):
            self.world.checker.once.add(request)
        sent_at = time.monotonic()
        try:
            answer = await client.post(
                f"http://{gateway.front}/long-{kind}/x",
                headers=headers,
                timeout=httpx.Timeout(deadline + 2.0, connect=1.0),
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            self.outcomes["long: no connection"] += 1
            await anyio.sleep(0.1)
            return
        except httpx.TimeoutException:
            self.outcomes["long: no answer in time"] += 1
            return
        except httpx.HTTPError:
            self.outcomes[f"long {kind}: cut"] += 1
            self._judge_cut(gateway, request, sent_at, deadline)
            return
        self.outcomes[f"long {kind}: {answer.status_code}"] += 1
        self._judge_answer(kind, request, answer)

    def _judge_answer(self, kind: str, request: str, answer: httpx.Response) -> None:
        checker, status = self.world.checker, answer.status_code
        signed = "x-response-signature" in answer.headers
        if status == httpx.codes.OK:
            text = whole(request) if kind in ("stream", "resume") else request
            checker.expect(WHOLE_PROMISE, signed and answer.text == text, f"{kind} {request}")
            return
        checker.expect(
            TOLD_PROMISE, signed or status in OWN_FAILURES, f"{kind} {request}: status {status}"
        )
        if not signed and status in (408, 503):
            checker.refused.add(request)

    def _judge_cut(
        self, gateway: GatewayProcess, request: str, sent_at: float, deadline: float
    ) -> None:
        now, run = time.monotonic(), self.runs.get(request)
        unread = run is None and now - sent_at < UNREAD_SECONDS
        over = now - sent_at > deadline - UNREAD_SECONDS
        if unread or over or (run is not None and run.broke_off):
            return
        if not self.world.touch.settled(SOAK, now):
            return
        stop = self.stops.get(gateway.name, StopRecord())
        work_ends = stop.signalled_at + EXCUSED_WORK_SHARE * stop.grace_seconds
        still_at_work = run is not None and (run.at_work > 0 or run.ended_at > work_ends)
        early = sent_at <= stop.signalled_at + EXCUSED_SENT_SECONDS
        detail = (
            f"{request} at {gateway.name}, sent {sent_at - stop.signalled_at:.2f} s after SIGTERM, "
            f"cut after {now - stop.signalled_at:.2f} of {stop.grace_seconds} s"
        )
        self.world.checker.expect(CUT_PROMISE, now >= work_ends and early and still_at_work, detail)

    async def _read_nothing(self, number: int) -> None:
        """Ask for large streams and read none of them."""
        chooser = random.Random(f"silent caller {number} {self.seed}")
        while not self.stop.is_set():
            gateway = chooser.choice(self.world.gateways)
            request = uuid.UUID(int=chooser.getrandbits(128)).hex
            head = (
                f"POST /long-stream/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {request}\r\n"
                f"x-deadline-ms: {int(ROUTE_SECONDS * 1000)}\r\nx-work-seconds: 0.1\r\n"
                f"x-piece-bytes: {SILENT_PIECE_BYTES}\r\ncontent-length: 0\r\n\r\n"
            )
            with socket.socket() as connection:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                connection.setblocking(False)
                try:
                    with anyio.fail_after(1.0):
                        loop = asyncio.get_running_loop()
                        address = gateway.front.host, gateway.front.port
                        await loop.sock_connect(connection, address)
                        await loop.sock_sendall(connection, head.encode())
                except OSError:  # A time-out is one, too.
                    await anyio.sleep(0.2)
                    continue
                self.silent["streams of which nothing was read"] += 1
                with anyio.move_on_after(chooser.uniform(1.0, SILENT_SECONDS)):
                    await self.stop.wait()


class StopSeries:
    """Stops gateways in series that overlap, beside changes of settings and configuration."""

    def __init__(self, world: World, seed: int, scene: StopScene) -> None:
        self._world = world
        self._scene = scene
        self._chooser = random.Random(f"stops {seed}")
        self._single = Faults(world, seed)
        self.stop = anyio.Event()
        self.injected: Counter[str] = Counter()

    async def run(self) -> None:
        """Run until `stop` is set, and until the last gateway is started again."""
        async with anyio.create_task_group() as tasks:
            while not self.stop.is_set():
                kind = self._chooser.choice(("stop", "stop", "stop", "reload", "configuration"))
                self.injected[kind] += 1
                sound = [gateway for gateway in self._world.gateways if gateway.sound]
                if kind == "configuration":
                    self._world.publish()
                elif kind == "reload":
                    await self._single.inject("settings reread")()
                elif len(sound) > 1:
                    tasks.start_soon(self._stop_gateway, self._chooser.choice(sound))
                with anyio.move_on_after(self._chooser.uniform(*STOP_GAP_SECONDS)):
                    await self.stop.wait()

    async def _stop_gateway(self, gateway: GatewayProcess) -> None:
        gateway.frozen = True
        while gateway.process is not None and not gateway.serves:
            await anyio.sleep(0.1)
        grace = float(gateway.grace_seconds)
        self._scene.stops[gateway.name] = StopRecord(time.monotonic(), grace)
        gateway.signal(signal.SIGTERM)
        ended = await anyio.to_thread.run_sync(gateway.ends_within, grace)
        settled = self._world.touch.settled(SOAK, time.monotonic())
        if settled or ended:
            self._world.checker.expect(GRACE_PROMISE, ended, f"{gateway.name}, {grace} s")
        if not ended:
            gateway.signal(signal.SIGKILL)
        code = await anyio.to_thread.run_sync(gateway.reap)
        if ended:
            detail = f"{gateway.name}: exit code {code}"
            self._world.checker.expect("a planned stop ends in order", code == 0, detail)
        await anyio.sleep(self._chooser.uniform(*RESTART_SECONDS))
        gateway.set_grace(self._chooser.choice(GRACE_SECONDS))
        gateway.frozen = False
        self._world.start_gateway(gateway)
