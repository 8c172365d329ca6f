"""A planned stop of a gateway, and requests that reach it more than 3 s after its SIGTERM.

Clients ask the other gateways for addresses within half a second of the signal, and keep the answer
for three times its `ttl_s`. Near the end of that time they send a request to the stopping gateway.
Its worker streams a piece every 0.2 s, and sends the last one before `grace_s` is over.

Exit code 1: such a request was passed on to a worker and its connection closed without a complete
answer; 0: none was; 2: the case could not run. If no answer names the stopping gateway any more,
another one is stopped, `ROUNDS` times at most. With TROUBLE=0 no gateway is stopped.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from client import call  # noqa: E402
from deployment import HOST_NAME, Deployment, Worker, answer_headers, deployed  # noqa: E402
from gateways import GRACE_SECONDS, Gateway, is_built  # noqa: E402
from http_server import Answer, ChunkedStream, Request  # noqa: E402
from outcome import BROKEN, HELD, NOT_RUN, run_case  # noqa: E402
from record import Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 5
ROUNDS = 4
CLIENTS = 48
ASKED_EVERY_SECONDS = 0.01
LIFETIMES_KEPT = 3.0
"""For how many lifetimes of an answer these clients keep it (PROTOCOL.md, "Ingress")."""

SENT_BEFORE_EXPIRY_SECONDS = 0.02
EXCUSED_UNTIL_SECONDS = 3.0
"""A request sent this soon after SIGTERM may be cut if its worker is still at work near the end."""

PIECES = 21
PIECE_SECONDS = 0.2
DEADLINE_MS = 12_000
SETTLED_SECONDS = 4.0
"""Longer than `contact_ms`: no disruption before the requests."""

ANNOUNCEMENTS_TOPIC = "keyed.nodes"
READ_SECONDS = 0.03
"""The signal comes this long after a gateway has announced itself: the others have just read that,
and read again after a pause. At other moments they may learn of the stop at once."""

ROUTE: dict[str, object] = {
    "path_prefix": "/advice/",
    "type": "streaming",
    "resumable": False,
    "timeout_ms": 10_000,
    "target_latency_ms": 400,
    "max_attempts": 2,
}


@dataclass(frozen=True)
class Fate:
    """What became of a client's request, and how many seconds after the signal it was sent."""

    sent_at: float
    outcome: str


class Case:
    """One run."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._began: set[str] = set()
        self._signalled_at = 0.0
        self._requests = 0

    def worker(self, name: str) -> Worker:
        """Return a worker that streams its answers for some seconds."""

        async def run(request: Request, stream: ChunkedStream) -> Answer | None:
            request_id = request.headers["x-request-id"]
            self._began.add(request_id)
            self._record.write(f"{name} begins {request_id}")
            headers = (*answer_headers(request, name), ("content-type", "text/event-stream"))
            await stream.begin(200, headers)
            for number in range(1, PIECES + 1):
                await asyncio.sleep(PIECE_SECONDS)
                await stream.send(f"id: {number}\ndata: setpoint {number}\n\n".encode())
            await stream.end()
            self._record.write(f"{name} has sent the whole stream of {request_id}")
            return None

        return Worker(name, run)

    async def play(self, running: Deployment) -> list[Fate]:
        """Stop gateways in turn until one was sent requests; return what became of these."""
        for stopping in running.gateways[:ROUNDS]:
            fates = await self._stop(running, stopping)
            if fates:
                return fates
            self._record.write("no answer named it any more; it is started again")
            stopping.start()
            await running.wait_ready(stopping)
        return []

    async def _stop(self, running: Deployment, stopping: Gateway) -> list[Fate]:
        """Stop a gateway, and let clients that know of it send their requests."""
        others = [gateway for gateway in running.gateways if gateway is not stopping]
        await asyncio.sleep(SETTLED_SECONDS)
        await running.store.wait_for_record(ANNOUNCEMENTS_TOPIC)
        await asyncio.sleep(READ_SECONDS)
        self._signalled_at = self._now()
        if TROUBLE:
            self._record.write(f"SIGTERM to {stopping.name}")
            stopping.signal(signal.SIGTERM)
        clients = [
            asyncio.create_task(
                self._client(running, number, stopping, others[number % len(others)])
            )
            for number in range(CLIENTS)
        ]
        fates = [fate for client in clients if (fate := await client) is not None]
        left = self._signalled_at + GRACE_SECONDS - self._now()
        await asyncio.sleep(max(0.0, left))
        self._record.write(f"{stopping.name}: exit code {stopping.exit_code}")
        return fates

    async def _client(
        self, running: Deployment, number: int, stopping: Gateway, other: Gateway
    ) -> Fate | None:
        await asyncio.sleep((number + 1) * ASKED_EVERY_SECONDS)
        asked_at = self._now()
        target = f"/-/resolve?name={HOST_NAME}&region=new-england&zone=hall-north"
        resolved = await call(other.front, "GET", target, {"Host": HOST_NAME}, seconds=1.0)
        answer = json.loads(resolved.body) if resolved.status == 200 else {"addresses": []}
        chosen = random.choice(answer["addresses"] or [""])
        if chosen != stopping.front:
            return None  # Clients that choose another gateway don't matter here.
        kept = LIFETIMES_KEPT * answer["ttl_s"]
        self._record.write(
            f"client {number} chooses {stopping.name}, keeps its answer for {kept} s"
        )
        await asyncio.sleep(asked_at + kept - SENT_BEFORE_EXPIRY_SECONDS - self._now())
        sent_at = self._now() - self._signalled_at
        self._requests += 1
        request_id = f"{self._requests:016x}"
        headers = {"X-Deadline-Ms": str(DEADLINE_MS)}
        reply = await running.send(stopping, request_id, f"/advice/{number}", headers)
        if reply.complete:
            return Fate(sent_at, "whole" if reply.status == 200 else f"status {reply.status}")
        late = sent_at > EXCUSED_UNTIL_SECONDS
        return Fate(sent_at, "LOST" if late and request_id in self._began else "excused")

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


async def play(record: Record) -> int:
    """Run the case and return its exit code."""
    if not is_built():
        record.write("the deploy file's build has not been run")
        return NOT_RUN
    record.write(f"trouble: {'on' if TROUBLE else 'off'}")
    case = Case(record)
    workers = [case.worker(f"i-{number:08x}") for number in range(1, 4)]
    async with deployed(record, ROUTE, workers, GATEWAYS) as running:
        fates = await case.play(running)
    record.write(f"{len(fates)} requests were sent to the gateway that is stopped")
    for fate in fates:
        record.write(f"sent {fate.sent_at:.3f} s after the signal: {fate.outcome}")
    if any(fate.outcome == "LOST" for fate in fates):
        return BROKEN
    answered = [fate for fate in fates if fate.outcome != "excused"]
    if not TROUBLE:
        answered = [fate for fate in answered if fate.outcome == "whole"]
    return HELD if answered else NOT_RUN


if __name__ == "__main__":
    the_record = Record(FOLDER / "record.txt")
    sys.exit(run_case(lambda: play(the_record), the_record))
