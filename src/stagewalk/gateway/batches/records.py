"""The stored records of batches. Pure.

Owns the forms in the log: fields keep their order and tags their names, so that records of earlier
releases stay readable. Encoded with `msgspec`, whose tagged types are those the fold works on.
"""

from __future__ import annotations

import msgspec

from stagewalk.gateway.scoring.records import ScoreCall

ItemHeaders = tuple[tuple[str, str], ...]


class BatchItem(msgspec.Struct, frozen=True, array_like=True):
    """One request of a batch.

    Attributes
    ----------
    group
        Items of one group are worth something only together; they share their prompt.
    expected_length
        The caller's guess of how much it will generate, in tokens; 0 if none.
    score_call
        What scores its text once that is whole; None: its text is all of its result.
    """

    item: str
    path: str
    headers: ItemHeaders
    body: bytes
    group: str
    model: str
    expected_length: int
    score_call: ScoreCall | None = None


class BatchHeader(msgspec.Struct, frozen=True, array_like=True):
    """What holds for a batch as a whole.

    Attributes
    ----------
    host, path
        Where it was submitted: they decide its route.
    minimum_version
        Oldest weight version that may make any of its results.
    wanted_groups
        Number of whole groups its trainer waits for.
    tenant
        Whose batch it is, `ANONYMOUS` if nobody's; None: no tenants were in force. It stays so
        whatever becomes of the key that it came with.
    """

    batch: str
    host: str
    path: str
    step: int
    model: str
    minimum_version: int
    wanted_groups: int
    tenant: str | None = None

    @property
    def trainer(self) -> str:
        """Return the key that its trainer's batches share."""
        return f"{self.host}/{self.model}"

    def belongs_to(self, tenant: str | None) -> bool:
        """Whether a tenant may read and end it; anyone may while no tenants are in force."""
        return owns_batch(self.tenant, tenant)


def owns_batch(owner: str | None, tenant: str | None) -> bool:
    """Whether a tenant may read and end the batch of another; None: no tenants are in force."""
    return not owner or tenant is None or tenant == owner


class BatchSubmitted(msgspec.Struct, frozen=True, array_like=True, tag="submitted"):
    """A part of a submission: the batch exists once all parts of one submission are there.

    The node that took it runs it.
    """

    header: BatchHeader
    submission: str
    part: int
    parts: int
    runner: str
    items: tuple[BatchItem, ...]


class ItemFinished(msgspec.Struct, frozen=True, array_like=True, tag="finished"):
    """A result. The first one of an item in the log is the result; its place is its position.

    Attributes
    ----------
    score
        What the service that scored the text signed; empty if the item asks for no score.
    """

    batch: str
    item: str
    succeeded: bool
    text: str
    versions: tuple[int, ...]
    score: str = ""


class ItemFinishedPart(msgspec.Struct, frozen=True, array_like=True, tag="finished_part"):
    """A part of a result that is larger than the log's records.

    The result stands at the place of its last part; `result` is the id that its parts share.
    """

    batch: str
    item: str
    result: str
    part: int
    parts: int
    text: str
    versions: tuple[int, ...]
    score: str = ""


class ItemProgress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """Text made so far, for the node that runs the item next.

    Attributes
    ----------
    whole
        Whether the text is whole and only its score is missing.
    score_failures
        How often the service that scores said that it failed.
    """

    batch: str
    item: str
    events: tuple[str, ...]
    versions: tuple[int, ...]
    whole: bool = False
    score_failures: int = 0


class BatchEnded(msgspec.Struct, frozen=True, array_like=True, tag="ended"):
    """Nobody waits for the batch any more."""

    batch: str


class BatchClaimed(msgspec.Struct, frozen=True, array_like=True, tag="claimed"):
    """A process takes over running a batch; void unless `epoch` follows the one in force."""

    batch: str
    runner: str
    epoch: int


class BatchReleased(msgspec.Struct, frozen=True, array_like=True, tag="released"):
    """The runner stops: anyone may claim the batch at once."""

    batch: str
    runner: str


BatchRecord = (
    BatchSubmitted
    | ItemFinished
    | ItemFinishedPart
    | ItemProgress
    | BatchEnded
    | BatchClaimed
    | BatchReleased
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[BatchRecord] = msgspec.msgpack.Decoder(BatchRecord)


def encode_record(record: BatchRecord) -> bytes:
    """Return a record's payload."""
    return _ENCODER.encode(record)


def encoded_size(item: BatchItem) -> int:
    """Return how many bytes an item takes in a record."""
    return len(_ENCODER.encode(item))


def decode_record(payload: bytes) -> BatchRecord | None:
    """Return a payload's record, None if it is none."""
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None
