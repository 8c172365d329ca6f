"""Workers that end under some requests, their callers, and what reached whom when."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import httpx
import msgspec

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.partitioned_log import Partition
from tests.gateway.memory_log import MemoryLog
from tests.soak.touch import TouchRecord

ANNOUNCEMENTS = Partition("keyed.servers", 0)
FRAIL_ROUTE = "frail"
FRAIL_SERVICE = "frail"
FRAIL_WORKERS = 4
HEARTBEAT_SECONDS = 1.0
CRASH_SECONDS = 0.05
RUN_SECONDS = 0.02
DOWN_SECONDS = (1.0, 3.0)
CRASHING_BODIES = (b"crashes whoever runs it", b"crashes them too")
NEW_NAME_SHARE = 0.5
POPULAR_BODY = b"popular"
VISIT_SECONDS = (0.5, 4.0)
PAUSE_SECONDS = 0.04
CLIENT_SECONDS = 1.5
BOUND_SECONDS = 3.0
"""After the third end, from when tries of the request that reach workers are counted."""

ALLOWED_ENDS = 3
ALLOWED_TRIES = 3
HELD_SECONDS = 10.0
"""A refusal that sends its caller away for longer says that the request is held back."""

CRASH_PROMISE = "a request that crashes workers stops reaching them"
BYSTANDER_PROMISE = "no other request is held back"

Expect = Callable[[str, bool, str], None]


@dataclass
class CrashRecord:
    """What was seen of one crashing body."""

    ends: int = 0
    third_at: float = float("inf")
    late_tries: set[str] = field(default_factory=set)


class CrashJudge:
    """Counts ends and late tries, by body."""

    def __init__(self, expect: Expect, touch: TouchRecord) -> None:
        self._expect = expect
        self._touch = touch
        self.records: dict[bytes, CrashRecord] = defaultdict(CrashRecord)
        self.gateway_of: dict[str, str] = {}
        """By try, the gateway that its caller sent it to."""

    def arrived(self, request: str, body: bytes) -> None:
        """Take that a worker began to run a request that ends it."""
        record = self.records[body]
        late = time.monotonic() > record.third_at + BOUND_SECONDS
        if late and self._touch.in_touch(self.gateway_of.get(request, "")):
            record.late_tries.add(request)
            held = len(record.late_tries) <= ALLOWED_TRIES
            self._expect(CRASH_PROMISE, held, f"{body!r}: {len(record.late_tries)} late tries")

    def ended(self, body: bytes) -> None:
        """Take that a worker ended under a body."""
        record = self.records[body]
        record.ends += 1
        if record.ends == ALLOWED_ENDS:
            record.third_at = time.monotonic()

    def counts(self) -> dict[str, int]:
        """Return counts for the report."""
        return {
            f"ends under {body.decode()!r}, {len(record.late_tries)} late tries": record.ends
            for body, record in sorted(self.records.items())
        }


class FrailWorker:
    """A worker that ends under crashing bodies: its connections break, and nobody listens."""

    def __init__(self, name: str, address: Address, log: MemoryLog, judge: CrashJudge) -> None:
        self._name = name
        self._address = address
        self._log = log
        self._judge = judge
        self._starts = 0
        self._born = 0
        self.identity = name
        """What it answers to, the same for several starts now and then."""
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def run(self, seed: int) -> None:
        """Serve, and start again after each end, for ever."""
        chooser = random.Random(f"{self._name} {seed}")
        while True:
            self._starts += 1
            self._born = time.time_ns() // 1_000_000
            if chooser.random() < NEW_NAME_SHARE:
                self.identity = f"{self._name}.{self._starts}"
            ended = anyio.Event()
            self._server = await asyncio.start_server(
                lambda reader, writer, ended=ended: self._serve(reader, writer, ended),
                self._address.host,
                self._address.port,
            )
            try:
                await self._heartbeats(ended)
            finally:
                self._server.close()
                for writer in list(self._connections):
                    writer.transport.abort()
            await anyio.sleep(chooser.uniform(*DOWN_SECONDS))
            self._log.put_key(ANNOUNCEMENTS, self.identity, None)

    async def _heartbeats(self, ended: anyio.Event) -> None:
        beat = 0
        while not ended.is_set():
            beat += 1
            self._log.put_key(ANNOUNCEMENTS, self.identity, self._entry(beat))
            with anyio.move_on_after(HEARTBEAT_SECONDS):
                await ended.wait()

    def _entry(self, beat: int) -> bytes:
        entry = {
            "service": FRAIL_SERVICE,
            "address": str(self._address),
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "sequence": beat,
            "cold_remaining_ms": 0,
            "born": self._born,
            "models": [],
        }
        return msgspec.json.encode(entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ended: anyio.Event
    ) -> None:
        self._connections.add(writer)
        try:
            while not ended.is_set():
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")[1:]
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._answer(headers, body, writer, ended)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(
        self,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
        ended: anyio.Event,
    ) -> None:
        request = headers.get("x-request-id", "")
        if headers.get("x-target-instance", self.identity) != self.identity:
            writer.write(_reply(421, request, b""))
            return
        if body in CRASHING_BODIES:
            self._judge.arrived(request, body)
            await anyio.sleep(CRASH_SECONDS)
            if not ended.is_set():
                self._judge.ended(body)
                ended.set()
            await anyio.sleep(1.0)
            return
        await anyio.sleep(RUN_SECONDS)
        writer.write(_reply(200, request, body))


def _reply(status: int, request: str, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status} X\r\nx-request-id: {request}\r\n"
        f"x-response-signature: sig\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class CrashCallers:
    """Callers of the frail workers: some come back with what crashes them, others don't."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        fronts: dict[str, Address],
        judge: CrashJudge,
        expect: Expect,
        seed: int,
    ) -> None:
        self._client = client
        self._fronts = fronts
        self._judge = judge
        self._expect = expect
        self._chooser = random.Random(f"crashes {seed}")
        self.stop = anyio.Event()
        self.served = 0
        self.sent = 0

    async def come_back(self, body: bytes) -> None:
        """Send a crashing request again and again, each time to two gateways."""
        while not self.stop.is_set():
            for _ in range(2):
                status, _ = await self._try(body)
                if status == httpx.codes.OK:
                    break
            await anyio.sleep(self._chooser.uniform(*VISIT_SECONDS))

    async def ask(self) -> None:
        """Send other requests, half of them of one content."""
        while not self.stop.is_set():
            popular = self._chooser.random() < 0.5
            status, away = await self._try(POPULAR_BODY if popular else uuid.uuid4().bytes)
            self.sent += 1
            self.served += status == httpx.codes.OK
            self._expect(BYSTANDER_PROMISE, away < HELD_SECONDS, f"popular={popular}")
            await anyio.sleep(PAUSE_SECONDS)

    async def _try(self, body: bytes) -> tuple[int, float]:
        """Return a try's status, 0 without any, and for how long its caller is sent away."""
        request = uuid.uuid4().hex
        gateway = self._chooser.choice(sorted(self._fronts))
        self._judge.gateway_of[request] = gateway
        headers = {"host": "h.example", "x-request-id": request, "x-deadline-ms": "1500"}
        url = f"http://{self._fronts[gateway]}/{FRAIL_ROUTE}/x"
        try:
            answer = await self._client.post(
                url, content=body, headers=headers, timeout=CLIENT_SECONDS
            )
        except httpx.HTTPError:
            return 0, 0.0
        return answer.status_code, float(answer.headers.get("retry-after", "0"))
