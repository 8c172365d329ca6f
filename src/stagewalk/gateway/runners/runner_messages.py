"""Messages between nodes about who runs batches.

Owns their wire format: the order of the fields and the names of the tags must not change.
"""

from __future__ import annotations

import msgspec


class AskRunner(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Ask a node which process it runs, and whether that process would run a batch.

    Attributes
    ----------
    trainer
        Whose batch it would be; empty in a probe.
    """

    trainer: str = ""


class RunBatch(msgspec.Struct, frozen=True, array_like=True, tag="run"):
    """Notify a node that a batch it is to run is in the log, and where.

    Attributes
    ----------
    partition
        Number of the partition.
    offset
        Of the batch's first record.
    """

    batch: str
    partition: int
    offset: int


RunnerCall = AskRunner | RunBatch


class RunnerAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Which process answers, and whether it runs batches assigned to it.

    Attributes
    ----------
    other_items
        Attempts at items of other trainers that it has under way.
    noted
        Whether it has indexed the place of the batch in the call.
    """

    process: str
    willing: bool
    other_items: int = 0
    noted: bool = False


_CALLS: msgspec.msgpack.Decoder[RunnerCall] = msgspec.msgpack.Decoder(RunnerCall)
_ANSWERS = msgspec.msgpack.Decoder(RunnerAnswer)


def encode_message(message: RunnerCall | RunnerAnswer) -> bytes:
    """Return a message's bytes."""
    return msgspec.msgpack.encode(message)


def decode_call(content: bytes) -> RunnerCall | None:
    """Return the decoded call, None if the bytes are invalid."""
    try:
        return _CALLS.decode(content)
    except msgspec.DecodeError:
        return None


def decode_answer(content: bytes) -> RunnerAnswer | None:
    """Return the decoded answer, None if the bytes are invalid."""
    try:
        return _ANSWERS.decode(content)
    except msgspec.DecodeError:
        return None
