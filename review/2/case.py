"""A resumable stream breaks off at its worker, and the worker that is to resume it answers 500.

Exit code 1: a client got a stream that was closed as complete before its last piece; 0: none did;
2: the case could not run. With TROUBLE=0 no worker breaks off a stream or answers 500.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, NotRunnableError, Worker, answer_headers, deployed  # noqa: E402
from gateways import is_built  # noqa: E402
from http_server import Answer, ChunkedStream, ConnectionReset, Request  # noqa: E402
from record import Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 12
PIECES = 8
PIECES_BEFORE_BREAK = 3
PIECE_SECONDS = 0.03
DEADLINE_MS = 8_000

ROUTE: dict[str, object] = {
    "path_prefix": "/advice/",
    "type": "streaming",
    "resumable": True,
    "timeout_ms": 10_000,
    "target_latency_ms": 400,
    "max_attempts": 2,
}


def piece(request_id: str, number: int) -> bytes:
    """Return a piece of the only right answer to a request."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def whole(request_id: str) -> bytes:
    """Return the only right answer to a request."""
    return b"".join(piece(request_id, number) for number in range(1, PIECES + 1))


def worker(name: str, record: Record) -> Worker:
    """Return a worker that streams pieces, with the troubles of this case."""

    async def run(request: Request, stream: ChunkedStream) -> Answer | None:
        request_id = request.headers["x-request-id"]
        after = int(request.headers.get("last-event-id", "0"))
        headers = answer_headers(request, name)
        if TROUBLE and after > 0:
            record.write(f"{name} runs {request_id} after piece {after} and answers 500")
            return Answer(500, b"the run failed", headers)
        record.write(f"{name} runs {request_id} after piece {after}")
        await stream.begin(200, (*headers, ("content-type", "text/event-stream")))
        for number in range(after + 1, PIECES + 1):
            if TROUBLE and number > PIECES_BEFORE_BREAK:
                record.write(f"{name} resets the connection of {request_id} after {number - 1}")
                raise ConnectionReset
            await asyncio.sleep(PIECE_SECONDS)
            await stream.send(piece(request_id, number))
        await stream.end()
        return None

    return Worker(name, run)


async def ask(running: Deployment, number: int) -> bool:
    """Ask for one stream; return whether it was closed as complete before its last piece."""
    request_id = f"{number:016x}"
    gateway = running.gateways[number % len(running.gateways)]
    headers = {"X-Deadline-Ms": str(DEADLINE_MS)}
    reply = await running.send(gateway, request_id, f"/advice/{number}", headers)
    return reply.status == 200 and reply.complete and reply.body != whole(request_id)


async def main() -> int:
    """Run the case."""
    record = Record(FOLDER / "record.txt")
    if not is_built():
        record.write("the deploy file's build has not been run")
        return 2
    record.write(f"trouble: {'on' if TROUBLE else 'off'}")
    workers = [worker(f"i-{number:08x}", record) for number in range(1, 4)]
    try:
        async with deployed(record, ROUTE, workers, gateways=2) as running:
            broken = [await ask(running, number) for number in range(REQUESTS)]
    except NotRunnableError as error:
        record.write(f"the case could not run: {error}")
        return 2
    record.write(f"{sum(broken)} of {REQUESTS} streams were closed as complete too early")
    return 1 if any(broken) else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
