"""State of a lot at one node: its slots in a deterministic order, and the phase of each."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import msgspec
import xxhash

from stagewalk.common.identities import (
    RequestId,
    SampleSlotKey,
    TenantName,
)
from stagewalk.node.core.completions import CompletionResult
from stagewalk.node.core.rollouts import RolloutLot, RolloutPrompt, Sample


class LotKey(NamedTuple):
    """Identity of a training step's lot."""

    tenant: TenantName
    trainer: str
    step: int


class SlotPhase(Enum):
    """Processing phase of a slot at this node."""

    WAITING = "waiting"
    """Waits in the queue, or for the retry timer of a failed rollout."""
    RUNNING = "running"
    SCORING = "scoring"
    CLAIMING = "claiming"
    READY = "ready"
    """Its sample may be delivered."""
    ACKNOWLEDGED = "acknowledged"
    """A pull's cursor covers it; its sample may be retained for an older cursor."""


_PHASES_BEFORE_ANSWER = frozenset({SlotPhase.WAITING, SlotPhase.RUNNING})


@dataclass(slots=True)
class Slot:
    """One slot of a lot.

    Attributes
    ----------
    generation
        Incremented when the slot's sample is too stale to be delivered and the slot is run again.
    rollouts_started
        Rollouts started for it at this node; makes request ids unique.
    failures
        Consecutive failures: of its rollouts until there is an answer, then in its current phase.
    requests
        Running rollouts with their start times; two for a duplicated straggler.
    candidate_id, candidate
        Request id and answer of the finished rollout that is being scored.
    sample
        The sample to deliver.
    decided
        Whether the claim has decided on the sample.
    phase_changes
        Incremented on each change of phase, which invalidates the timers set before.
    """

    key: SampleSlotKey
    prompt: RolloutPrompt
    phase: SlotPhase = SlotPhase.WAITING
    generation: int = 0
    rollouts_started: int = 0
    failures: int = 0
    requests: dict[RequestId, float] = field(default_factory=dict)
    candidate_id: RequestId | None = None
    candidate: CompletionResult | None = None
    sample: Sample | None = None
    decided: bool = False
    phase_changes: int = 0


@dataclass(slots=True)
class Lot:
    """A lot this node runs or serves.

    Attributes
    ----------
    digest
        Hash of the lot's identity and contents, which binds cursors to it.
    acknowledged
        Bitmap of the last applied cursor.
    active_at
        When the trainer last submitted or pulled any of its lots here.
    pulled
        Whether this node has received a pull for it.
    window, window_shrunk_at
        How many rollouts may run at the same time, which grows with answers and shrinks with
        refusals, and when it last shrank.
    paused
        Whether it is paused because its trainer has been inactive.
    completed_at
        When a pull's answer first covered every slot, if one did.
    durations
        Durations of finished rollouts in seconds, ascending.
    held_until
        No rollouts start before, while claims are probed for work of another node.
    run_elsewhere
        Whether another node runs or ran it; its claims are then read periodically.
    following
        Whether no rollouts start here because that node has decided claims lately.
    claim_found_at, next_claim_read_at
        When a claim decided by another node was last found, and when claims are read next.
    last_call
        Sequence number of the last call that submitted or pulled it.
    stuck_logged_at
        When one of its slots was last logged as stuck.
    """

    key: LotKey
    lot: RolloutLot
    digest: int
    slots: list[Slot]
    active_at: float
    indices: dict[SlotPhase, set[int]]
    window: float
    window_shrunk_at: float = -math.inf
    queue: list[tuple[float, int]] = field(default_factory=list)
    acknowledged: int = 0
    pulled: bool = False
    paused: bool = False
    completed_at: float | None = None
    durations: list[float] = field(default_factory=list)
    duplicates: int = 0
    held_until: float = 0.0
    run_elsewhere: bool = False
    following: bool = False
    claim_found_at: float | None = None
    next_claim_read_at: float = 0.0
    last_call: int = 0
    stuck_logged_at: float | None = None

    @property
    def all_slots(self) -> int:
        """Return the bitmap of all its slots."""
        return (1 << len(self.slots)) - 1

    def move(self, index: int, phase: SlotPhase, *, keep_timers: bool = False) -> None:
        """Move a slot to a phase and invalidate its timers, unless `keep_timers` is set."""
        slot = self.slots[index]
        self.indices[slot.phase].discard(index)
        self.indices[phase].add(index)
        slot.phase = phase
        if phase not in _PHASES_BEFORE_ANSWER:
            slot.failures = 0
        if not keep_timers:
            slot.phase_changes += 1

    def enqueue(self, index: int, predicted_tokens: float) -> None:
        """Queue a waiting slot by predicted length, longest first."""
        heapq.heappush(self.queue, (-predicted_tokens, index))

    def next_in_queue(self) -> int | None:
        """Remove and return the next waiting slot, if any."""
        while self.queue:
            index = heapq.heappop(self.queue)[1]
            if self.slots[index].phase is SlotPhase.WAITING:
                return index
        return None

    def count(self, phase: SlotPhase) -> int:
        """Return how many of its slots are in a phase."""
        return len(self.indices[phase])


def lot_key(lot: RolloutLot) -> LotKey:
    """Return a lot's identity."""
    return LotKey(lot.tenant, lot.trainer, lot.step)


def lot_digest(lot: RolloutLot) -> int:
    """Return the xxHash64 of a lot's identity and contents.

    Versions and deadlines are left out, since a step submitted again may have newer ones.
    """
    contents = (
        lot.tenant,
        lot.trainer,
        lot.step,
        lot.model,
        lot.samples_per_prompt,
        [(prompt.prompt_id, prompt.prompt, prompt.max_tokens) for prompt in lot.prompts],
    )
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(contents))


def make_lot(lot: RolloutLot, window: int, now: float) -> Lot:
    """Return a lot with all slots waiting, in the order of its cursors' bitmaps."""
    slots = [
        Slot(SampleSlotKey(lot.tenant, lot.trainer, lot.step, prompt.prompt_id, index), prompt)
        for prompt in lot.prompts
        for index in range(lot.samples_per_prompt)
    ]
    indices: dict[SlotPhase, set[int]] = {phase: set() for phase in SlotPhase}
    indices[SlotPhase.WAITING].update(range(len(slots)))
    return Lot(lot_key(lot), lot, lot_digest(lot), slots, now, indices, float(window))
