"""A planned stop of a gateway, and requests that reach it more than 3 s after its SIGTERM.

Clients ask the other gateway for addresses within half a second of the signal, and keep the answer
for three times its `ttl_s`. Near the end of that time they send a request to the stopping gateway.
Its worker streams a piece every 0.2 s, and sends the last one before `grace_s` is over.

Exit code 1: such a request was passed on to a worker and its connection closed without a complete
answer; 0: none was; 2: the case could not run, or no answer named the stopping gateway any more.
With TROUBLE=0 no gateway is stopped.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from client import call  # noqa: E402
from deployment import (  # noqa: E402
    HOST_NAME,
    Deployment,
    NotRunnableError,
    Worker,
    answer_headers,
    deployed,
)
from gateways import GRACE_SECONDS, Gateway, is_built  # noqa: E402
from http_server import Answer, ChunkedStream, Request  # noqa: E402
from record import Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 12
ASKED_EVERY_SECONDS = 0.04
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

ROUTE: dict[str, object] = {
    "path_prefix": "/advice/",
    "type": "streaming",
    "resumable": False,
    "timeout_ms": 10_000,
    "target_latency_ms": 400,
    "max_attempts": 2,
}


@dataclass
class Fate:
    """What became of a client's request.

    Attributes
    ----------
    sent_at
        Seconds after the signal; None if the client's answer didn't name the stopping gateway.
    """

    sent_at: float | None = None
    lost: bool = False


class Case:
    """One run."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._began: set[str] = set()
        self._signalled_at = 0.0

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
        """Stop the first gateway, and let clients that know of it send their requests."""
        stopping, other = running.gateways
        await asyncio.sleep(SETTLED_SECONDS)
        self._signalled_at = self._now()
        if TROUBLE:
            self._record.write(f"SIGTERM to {stopping.name}")
            stopping.signal(signal.SIGTERM)
        clients = [
            asyncio.create_task(self._client(running, number, stopping, other))
            for number in range(CLIENTS)
        ]
        fates = [await client for client in clients]
        left = self._signalled_at + GRACE_SECONDS - self._now()
        await asyncio.sleep(max(0.0, left))
        self._record.write(f"{stopping.name}: exit code {stopping.exit_code}")
        return fates

    async def _client(
        self, running: Deployment, number: int, stopping: Gateway, other: Gateway
    ) -> Fate:
        await asyncio.sleep((number + 1) * ASKED_EVERY_SECONDS)
        asked_at = self._now()
        target = f"/-/resolve?name={HOST_NAME}&region=new-england&zone=hall-north"
        resolved = await call(other.front, "GET", target, {"Host": HOST_NAME}, seconds=1.0)
        answer = json.loads(resolved.body) if resolved.status == 200 else {"addresses": []}
        if stopping.front not in answer["addresses"]:
            return Fate()
        kept = LIFETIMES_KEPT * answer["ttl_s"]
        self._record.write(f"client {number} is told of {stopping.name}, keeps that for {kept} s")
        await asyncio.sleep(asked_at + kept - SENT_BEFORE_EXPIRY_SECONDS - self._now())
        fate = Fate(self._now() - self._signalled_at)
        request_id = f"{number:016x}"
        headers = {"X-Deadline-Ms": str(DEADLINE_MS)}
        reply = await running.send(stopping, request_id, f"/advice/{number}", headers)
        assert fate.sent_at is not None
        late = fate.sent_at > EXCUSED_UNTIL_SECONDS
        fate.lost = late and not reply.complete and request_id in self._began
        return fate

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


async def main() -> int:
    """Run the case."""
    record = Record(FOLDER / "record.txt")
    if not is_built():
        record.write("the deploy file's build has not been run")
        return 2
    record.write(f"trouble: {'on' if TROUBLE else 'off'}")
    case = Case(record)
    workers = [case.worker(f"i-{number:08x}") for number in range(1, 4)]
    try:
        async with deployed(record, ROUTE, workers, gateways=2) as running:
            fates = await case.play(running)
    except NotRunnableError as error:
        record.write(f"the case could not run: {error}")
        return 2
    sent = [fate for fate in fates if fate.sent_at is not None]
    record.write(f"{len(sent)} requests were sent to the stopping gateway")
    for fate in sent:
        record.write(f"sent {fate.sent_at:.3f} s after the signal: {'LOST' if fate.lost else 'ok'}")
    if not sent:
        return 2
    return 1 if any(fate.lost for fate in sent) else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
