"""Rollout lots that a trainer submits, and the samples it pulls.

Plain data shared by the edge and the sample ledger.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from stagewalk.common.identities import ModelName, SampleSlotKey, TenantName, WeightVersion
from stagewalk.node.core.completions import VersionSpan


@dataclass(frozen=True, slots=True)
class RolloutPrompt:
    """One prompt of a lot."""

    prompt_id: str
    prompt: str
    max_tokens: int
    prompt_token_count: int = 0


@dataclass(frozen=True, slots=True)
class RolloutLot:
    """All prompts of one training step; submitting the same step again changes nothing.

    Attributes
    ----------
    trainer_version
        Version the trainer holds at submission; staleness is measured against that of each pull.
    deadline
        Node's clock, seconds, by which the trainer wants the step complete.
    """

    tenant: TenantName
    trainer: str
    step: int
    model: ModelName
    trainer_version: WeightVersion
    prompts: tuple[RolloutPrompt, ...]
    samples_per_prompt: int
    deadline: float


@dataclass(frozen=True, slots=True)
class SamplePull:
    """A trainer's request for finished samples.

    Attributes
    ----------
    cursor
        Opaque token of the previous answer, empty at first; it acknowledges the samples
        delivered up to it.
    trainer_version
        Version the trainer holds now; staleness of the delivered samples is measured against it.
    wait_until
        Node's clock, seconds, until which the answer may wait for a first sample.
    """

    tenant: TenantName
    trainer: str
    step: int
    cursor: str
    trainer_version: WeightVersion
    max_samples: int
    wait_until: float


@dataclass(frozen=True, slots=True)
class Sample:
    """A finished, scored sample of one slot.

    Attributes
    ----------
    sample_id
        Unique: names the attempt that produced it.
    spans
        Weight versions that produced its tokens, in order, as the engines reported them.
    finished_at
        Node's clock, seconds.
    """

    slot: SampleSlotKey
    sample_id: str
    text: str
    token_count: int
    spans: tuple[VersionSpan, ...]
    score: float
    finished_at: float

    @property
    def oldest_version(self) -> WeightVersion:
        """Return the oldest version among its spans: its staleness is measured from this one."""
        return min(span.version for span in self.spans)


@dataclass(frozen=True, slots=True)
class SamplePage:
    """The answer to a pull.

    `cursor` acknowledges these samples once the trainer sends it back.
    `complete` says that with these samples every slot of the step has been handed over.
    """

    samples: tuple[Sample, ...]
    cursor: str
    complete: bool
    remaining: int


def sample_seed(slot: SampleSlotKey) -> int:
    """Return the sampling seed of a slot: the same for every attempt, known to the trainer."""
    return xxhash.xxh32_intdigest(str(slot).encode())
