"""A lot at one node: its slots in their deterministic order and what became of each.

Plain state, changed by the parts of the ledger; owns the phases' index and the queue of waiting
slots.
"""

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
    """How far a slot has come at this node."""

    WAITING = "waiting"
    """To be run, when its turn comes or the timer of a failed rollout is due."""
    RUNNING = "running"
    SCORING = "scoring"
    CLAIMING = "claiming"
    READY = "ready"
    """Its sample may be delivered."""
    ACKNOWLEDGED = "acknowledged"
    """A pull's cursor covers it; its sample, if there is one, is kept for an older cursor."""


_PHASES_BEFORE_ANSWER = frozenset({SlotPhase.WAITING, SlotPhase.RUNNING})


@dataclass(slots=True)
class Slot:
    """One slot of a lot.

    Attributes
    ----------
    generation
        Grows when the chosen sample is too stale to be delivered: the slot is then run again.
    tries
        Rollouts started for it at this node; makes request ids unique.
    failures
        Failures in a row: of its rollouts until there is an answer, then of its present phase.
    requests
        Rollouts running for it, with the time each was started: two for a straggler.
    candidate
        The finished answer that is being scored or claimed, with its request's id.
    sample
        What a pull would get.
    decided
        Whether the sample is the one the claim chose.
    change
        Grows with each change of phase; a timer set before it is out of date.
    """

    key: SampleSlotKey
    prompt: RolloutPrompt
    phase: SlotPhase = SlotPhase.WAITING
    generation: int = 0
    tries: int = 0
    failures: int = 0
    requests: dict[RequestId, float] = field(default_factory=dict)
    candidate_id: RequestId | None = None
    candidate: CompletionResult | None = None
    sample: Sample | None = None
    decided: bool = False
    change: int = 0


@dataclass(slots=True)
class Lot:
    """A lot this node runs or serves.

    Attributes
    ----------
    digest
        Binds cursors to the lot's identity and contents.
    acknowledged
        Bitmap of the newest pull's cursor.
    active_at
        When the trainer last submitted or pulled it here.
    pulled
        Whether a pull for it has come to this node.
    window, window_shrunk_at
        Rollouts that may run at once; shrinks with refusals, grows with answers. When it last
        shrank.
    paused
        Its trainer has been silent for long: nothing of it is run.
    completed_at
        When a pull's answer first covered every slot, if one did.
    durations
        Seconds that finished rollouts took, ascending.
    held_until
        Nothing of it is started before: its claims are being probed for another node's work.
    moved
        Another node runs it, or did: its claims are read from time to time.
    following
        That node finished slots lately: nothing is started here.
    news_at, next_read_at
        When a claim that another node had decided was last found, and when claims are read next.
    used
        Order among its trainer's lots in which it was last submitted or pulled.
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
    moved: bool = False
    following: bool = False
    news_at: float | None = None
    next_read_at: float = 0.0
    used: int = 0
    stuck_logged_at: float | None = None

    @property
    def all_slots(self) -> int:
        """Return the bitmap of all its slots."""
        return (1 << len(self.slots)) - 1

    def move(self, index: int, phase: SlotPhase, *, keep_timers: bool = False) -> None:
        """Bring a slot to a phase; its timers are out of date then, unless they are kept."""
        slot = self.slots[index]
        self.indices[slot.phase].discard(index)
        self.indices[phase].add(index)
        slot.phase = phase
        if phase not in _PHASES_BEFORE_ANSWER:
            slot.failures = 0
        if not keep_timers:
            slot.change += 1

    def enqueue(self, index: int, predicted_tokens: float) -> None:
        """Queue a waiting slot by its predicted length, the longest first."""
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

    Versions and deadlines are left out: a step submitted again may name newer ones.
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
    """Return a lot with all its slots waiting, in the order its cursors count them."""
    slots = [
        Slot(SampleSlotKey(lot.tenant, lot.trainer, lot.step, prompt.prompt_id, index), prompt)
        for prompt in lot.prompts
        for index in range(lot.samples_per_prompt)
    ]
    indices: dict[SlotPhase, set[int]] = {phase: set() for phase in SlotPhase}
    indices[SlotPhase.WAITING].update(range(len(slots)))
    return Lot(lot_key(lot), lot, lot_digest(lot), slots, now, indices, float(window))
