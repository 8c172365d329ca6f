"""Where the records of each open batch begin, in a small topic of its own.

A process that starts lists it first: what it ran before goes on without the whole log being read.
It gives speed only. The batches themselves, and who runs them, are told by their own records.
"""

from __future__ import annotations

import anyio
import msgspec

from stagewalk.logs.lines import log_event
from stagewalk.ports.partitioned_log import Partition, PartitionedLog

OPEN_BATCHES = Partition("keyed.batches", 0)
NOTE_SECONDS = 0.2
"""How long whoever notes a batch waits for the log: a note that is late is worth less."""

DROPPED = b""


class BatchPlace(msgspec.Struct, frozen=True, array_like=True):
    """Where a batch's records begin, and the process that was to run it when this was noted.

    Attributes
    ----------
    partition
        Number of its partition.
    offset
        Of its first record.
    """

    partition: int
    offset: int
    runner: str


class OpenBatches:
    """Notes and lists the places of open batches."""

    def __init__(self, log: PartitionedLog) -> None:
        self._log = log

    async def note(self, batch: str, place: BatchPlace) -> None:
        """Note where a batch is and who runs it."""
        await self._put(batch, msgspec.msgpack.encode(place))

    async def drop(self, batch: str) -> None:
        """Forget a batch that has ended."""
        await self._put(batch, DROPPED)

    async def list(self) -> dict[str, BatchPlace]:
        """Return the places of all batches noted, none if the log does not answer."""
        listing = await self._log.newest(OPEN_BATCHES)
        if listing.is_error():
            log_event("open_batches_unknown", "warning", detail=listing.error.detail)
            return {}
        places = {r.key: _decode(r.value) for r in listing.ok.records if r.value}
        return {batch: place for batch, place in places.items() if place is not None}

    async def _put(self, batch: str, value: bytes) -> None:
        with anyio.move_on_after(NOTE_SECONDS):
            answer = await self._log.append_keyed(OPEN_BATCHES, batch, value)
            if answer.is_error():
                log_event("open_batch_not_noted", batch=batch, fault=answer.error.fault)


def _decode(value: bytes) -> BatchPlace | None:
    try:
        return msgspec.msgpack.decode(value, type=BatchPlace)
    except msgspec.DecodeError:
        return None
