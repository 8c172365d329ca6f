"""The stored records of batches. Pure.

Defines the log format: fields keep their order and tags their names, so that records of earlier
releases stay readable. `msgspec` decodes records to the types that the ledger works on.
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
        Items of a group share their prompt, and are useful to the trainer only together.
    expected_length
        The caller's estimate of the tokens to be generated; 0 if none.
    score_call
        The call that scores the complete text; None if the item asks for no score.
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
    """Properties of a batch as a whole.

    Attributes
    ----------
    host, path
        Where it was submitted; they determine its route.
    minimum_version
        Oldest weight version that may generate any of its text.
    wanted_groups
        Number of complete groups that its trainer waits for.
    tenant
        Owner of the batch, `ANONYMOUS` if it has none; None if no tenants were configured. Later
        changes of the submitter's key don't affect it.
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
        """Return the key that all batches of its trainer share."""
        return f"{self.host}/{self.model}"

    def belongs_to(self, tenant: str | None) -> bool:
        """Whether a tenant may read and end it; anyone may while no tenants are configured."""
        return owns_batch(self.tenant, tenant)


def owns_batch(owner: str | None, tenant: str | None) -> bool:
    """Whether a tenant may read and end an owner's batch; None: no tenants are configured."""
    return not owner or tenant is None or tenant == owner


class BatchSubmitted(msgspec.Struct, frozen=True, array_like=True, tag="submitted"):
    """A part of a submission; the batch exists once all parts of one submission are recorded.

    The node that accepted the submission runs the batch.
    """

    header: BatchHeader
    submission: str
    part: int
    parts: int
    runner: str
    items: tuple[BatchItem, ...]


class ItemFinished(msgspec.Struct, frozen=True, array_like=True, tag="finished"):
    """A result. The first valid one of an item in the log counts; log order sets its position.

    Attributes
    ----------
    score
        The score as signed by the scoring service; empty if the item asks for no score.
    """

    batch: str
    item: str
    succeeded: bool
    text: str
    versions: tuple[int, ...]
    score: str = ""


class ItemFinishedPart(msgspec.Struct, frozen=True, array_like=True, tag="finished_part"):
    """A part of a result that exceeds the log's record size.

    The result takes the position of its last part; `result` is the id that its parts share.
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
    """Text generated so far, for the node that runs the item next.

    Attributes
    ----------
    whole
        Whether the text is complete and only its score is missing.
    score_failures
        How often the scoring service reported a failure.
    """

    batch: str
    item: str
    events: tuple[str, ...]
    versions: tuple[int, ...]
    whole: bool = False
    score_failures: int = 0


class BatchEnded(msgspec.Struct, frozen=True, array_like=True, tag="ended"):
    """The batch was ended: nobody waits for its results any more."""

    batch: str


class BatchClaimed(msgspec.Struct, frozen=True, array_like=True, tag="claimed"):
    """A process takes over a batch; ignored unless `epoch` is the next after the one in force."""

    batch: str
    runner: str
    epoch: int


class BatchReleased(msgspec.Struct, frozen=True, array_like=True, tag="released"):
    """The runner stops running the batch: any node may claim it at once."""

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
    """Return a payload's record, None if it can't be decoded."""
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None
