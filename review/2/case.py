"""Workers crash in turn while they stream, and one other worker fails two of five requests.

Exit code 1: a client got a stream that was closed as complete before its last piece; 0: none did;
2: the case could not run. With TROUBLE=0 no worker crashes and none fails a request.
"""

from __future__ import annotations

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from client import Reply  # noqa: E402
from deployment import Deployment, Worker, answer_headers, deployed  # noqa: E402
from gateways import is_built  # noqa: E402
from http_server import Answer, ChunkedStream, ConnectionReset, Request  # noqa: E402
from outcome import BROKEN, HELD, NOT_RUN, run_case  # noqa: E402
from record import Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 5
"""One at a time crashes, 0.2 of them; another one, always the last, is the one that fails."""

FAILING_OF_FIVE = (1, 3)
"""Of each five requests that the failing worker gets, those that it answers with 500: 0.4."""

ROUNDS = 8
STREAMS_AT_ONCE = 20
"""Of the workers' 30 places."""

PIECES = 10
PIECE_SECONDS = 0.08
CRASH_AFTER_SECONDS = 0.4
DOWN_SECONDS = 1.5
DEADLINE_MS = 8_000

ROUTE: dict[str, object] = {
    "path_prefix": "/advice/",
    "type": "streaming",
    "resumable": True,
    "timeout_ms": 10_000,
    "target_latency_ms": 400,
    "max_attempts": 3,
}


def whole(request_id: str) -> bytes:
    """Return the only right answer to a request."""
    return b"".join(piece(request_id, number) for number in range(1, PIECES + 1))


def piece(request_id: str, number: int) -> bytes:
    """Return a piece of the only right answer to a request."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


@dataclass
class Counts:
    """What became of the streams."""

    whole: int = 0
    closed_too_early: int = 0
    other: int = 0


class Case:
    """One run."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._asked_of_failing = 0
        self.counts = Counts()

    def worker(self, number: int) -> Worker:
        """Return a worker that streams pieces, the last one with the failures of this case."""
        name = f"i-{number:08x}"
        fails = TROUBLE and number == WORKERS

        async def run(request: Request, stream: ChunkedStream) -> Answer | None:
            request_id = request.headers["x-request-id"]
            after = int(request.headers.get("last-event-id", "0"))
            headers = answer_headers(request, name)
            if fails:
                self._asked_of_failing += 1
                if self._asked_of_failing % 5 in FAILING_OF_FIVE:
                    self._record.write(f"{name} runs {request_id} after {after}, answers 500")
                    return Answer(500, b"the run failed", headers)
            self._record.write(f"{name} runs {request_id} after {after}")
            await stream.begin(200, (*headers, ("content-type", "text/event-stream")))
            for next_piece in range(after + 1, PIECES + 1):
                await asyncio.sleep(PIECE_SECONDS)
                if worker.down:
                    raise ConnectionReset
                await stream.send(piece(request_id, next_piece))
            await stream.end()
            return None

        worker = Worker(name, run)
        return worker

    async def play_round(self, running: Deployment, number: int) -> None:
        """Ask for streams at once, and let one worker crash while they run."""
        first = number * STREAMS_AT_ONCE
        asked = [
            asyncio.create_task(self._ask(running, n))
            for n in range(first, first + STREAMS_AT_ONCE)
        ]
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        crashing = running.workers[number % (WORKERS - 1)]
        if TROUBLE:
            self._record.write(f"{crashing.name} crashes")
            crashing.crash()
            await asyncio.sleep(DOWN_SECONDS)
            crashing.start_again()
            self._record.write(f"{crashing.name} starts again")
        await asyncio.gather(*asked)

    async def _ask(self, running: Deployment, number: int) -> None:
        request_id = f"{number:016x}"
        gateway = running.gateways[number % len(running.gateways)]
        headers = {"X-Deadline-Ms": str(DEADLINE_MS)}
        reply = await running.send(gateway, request_id, f"/advice/{number}", headers)
        self._judge(request_id, reply)

    def _judge(self, request_id: str, reply: Reply) -> None:
        if reply.status != 200 or not reply.complete:
            self.counts.other += 1
        elif reply.body == whole(request_id):
            self.counts.whole += 1
        else:
            self.counts.closed_too_early += 1
            self._record.write(f"{request_id} was closed as complete before its last piece")


async def play(record: Record) -> int:
    """Run the case and return its exit code."""
    if not is_built():
        record.write("the deploy file's build has not been run")
        return NOT_RUN
    record.write(f"trouble: {'on' if TROUBLE else 'off'}")
    case = Case(record)
    workers = [case.worker(number) for number in range(1, WORKERS + 1)]
    async with deployed(record, ROUTE, workers, gateways=2) as running:
        for number in range(ROUNDS):
            await case.play_round(running, number)
    counts = case.counts
    record.write(
        f"{counts.closed_too_early} streams were closed as complete too early, "
        f"{counts.whole} were whole, {counts.other} ended otherwise"
    )
    if counts.closed_too_early:
        return BROKEN
    served = counts.whole if TROUBLE else counts.whole - counts.other
    return HELD if served > ROUNDS * STREAMS_AT_ONCE / 2 else NOT_RUN


if __name__ == "__main__":
    the_record = Record(FOLDER / "record.txt")
    sys.exit(run_case(lambda: play(the_record), the_record))
