"""Runs a case within its time; whatever keeps it from running gives exit code 2, never 1."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
MOST_SECONDS = 110.0
"""A case runs for 120 s at most, and needs a little time to end its processes."""


def run_case(play: Callable[[], Awaitable[int]], record: Record) -> int:
    """Return the case's exit code; all that it started has ended."""

    async def bounded() -> int:
        async with asyncio.timeout(MOST_SECONDS):
            return await play()

    try:
        return asyncio.run(bounded())
    except Exception:
        record.write(f"the case could not run: {traceback.format_exc()}")
        return NOT_RUN
