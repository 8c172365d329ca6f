"""Index of batches in a keyed topic: where each one's records begin, and whether it has ended.

A process that starts lists it first, and resumes what it ran before without reading the whole log.
A node that has not read the whole log also learns here that a batch was submitted or ended before.
Owns the stored places. Relies on the log's keyed topics.
"""

from __future__ import annotations

import anyio
import msgspec
from expression import Error, Ok, Result

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batches.batch import NO_RUNNER
from stagewalk.gateway.batches.records import owns_batch
from stagewalk.gateway.ports.partitioned_log import LogFailure, Partition, PartitionedLog

BATCH_INDEX_PARTITION = Partition("keyed.batches", 0)
INDEX_WRITE_TIMEOUT_SECONDS = 0.2
"""How long a write of a place may wait for the log; it is not retried."""

MARK_RETRY_SECONDS = 0.1
"""Delay between attempts to mark an end."""

TOMBSTONE = b""


class BatchPlace(msgspec.Struct, frozen=True, array_like=True):
    """Where a batch's records begin, and its runner when this was written.

    Attributes
    ----------
    partition
        Number of its partition.
    offset
        Offset of its first record; unless `ended` is set, no end of the batch lies before it.
    ended
        Whether an end of the batch was requested; its place has no meaning then.
    tenant
        Whose batch it is, see `BatchHeader`.
    certain
        Whether `offset` is that of the batch's very first record, as found by a node whose view
        held all records: results read from there have their final positions. Otherwise it may be
        that of a second submission, if the place of the first one was never written.
    """

    partition: int
    offset: int
    runner: str
    ended: bool = False
    tenant: str | None = None
    certain: bool = False

    def belongs_to(self, tenant: str | None) -> bool:
        """Whether a tenant may read and end the batch."""
        return owns_batch(self.tenant, tenant)


class BatchIndex:
    """Writes and lists the places of batches.

    A view that begins at an indexed place must show the batch's end, or the batch would be run
    after its end. The order of writes guarantees that no end lies before such a place: a batch is
    marked as ended before its end is appended, and the node that submits it looks for the mark
    after its own submission was appended. If there is no mark by then, the end comes after that
    submission. A delayed write may replace a mark, but its place lies before the end.
    """

    def __init__(self, log: PartitionedLog) -> None:
        self._log = log

    async def record_place(self, batch: str, place: BatchPlace) -> bool:
        """Write a batch's place and runner; return whether the log accepted it in time."""
        return await self._put(batch, msgspec.msgpack.encode(place))

    async def mark_ended(
        self,
        batch: str,
        partition: int,
        tenant: str | None,
        timeout_seconds: float,
        *,
        first_offset: int | None = None,
    ) -> bool:
        """Mark a batch as ended before its end is appended; return whether the log confirmed it.

        Parameters
        ----------
        first_offset
            Offset of the batch's first record, None if this node's view doesn't show it.
        """
        certain = first_offset is not None
        place = BatchPlace(partition, first_offset or 0, NO_RUNNER, True, tenant, certain)
        value = msgspec.msgpack.encode(place)
        until = steady_seconds() + timeout_seconds
        with anyio.move_on_after(timeout_seconds):
            while True:
                answer = await self._log.append_keyed(BATCH_INDEX_PARTITION, batch, value)
                if answer.is_ok():
                    return True
                if steady_seconds() + MARK_RETRY_SECONDS >= until:
                    break
                await anyio.sleep(MARK_RETRY_SECONDS)
        log_event("batch_end_not_marked", "warning", batch=batch, waited_seconds=timeout_seconds)
        return False

    async def drop(self, batch: str) -> None:
        """Forget a batch that ended long ago."""
        await self._put(batch, TOMBSTONE)

    async def find(self, batch: str) -> Result[BatchPlace | None, LogFailure]:
        """Return the place of a batch, None if it is not in the index."""
        return (await self.list()).map(lambda places: places.get(batch))

    async def list(self) -> Result[dict[str, BatchPlace], LogFailure]:
        """Return the places of all batches in the index."""
        listing = await self._log.newest(BATCH_INDEX_PARTITION)
        if listing.is_error():
            log_event("open_batches_unknown", "warning", detail=listing.error.detail)
            return Error(listing.error)
        places = {r.key: _decode(r.value) for r in listing.ok.records if r.value}
        return Ok({batch: place for batch, place in places.items() if place is not None})

    async def _put(self, batch: str, value: bytes) -> bool:
        with anyio.move_on_after(INDEX_WRITE_TIMEOUT_SECONDS):
            answer = await self._log.append_keyed(BATCH_INDEX_PARTITION, batch, value)
            if answer.is_error():
                log_event("open_batch_not_noted", batch=batch, fault=answer.error.fault)
            return answer.is_ok()
        return False


def _decode(value: bytes) -> BatchPlace | None:
    try:
        return msgspec.msgpack.decode(value, type=BatchPlace)
    except msgspec.DecodeError:
        return None
