"""Timers of slots: retries of rollouts, scores and claims."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from stagewalk.node.samples.lots import LotKey


class SlotTimerKind(IntEnum):
    """Action of a slot's timer."""

    RUN = 0
    """Run the slot again after a failure."""
    SCORE = 1
    """Score the answer again."""
    CLAIM = 2
    """Propose the claim again."""
    CLAIM_WAIT = 3
    """Stop waiting for the claim."""


@dataclass(frozen=True, slots=True)
class SlotTimer:
    """Timer of a slot; ignored if the slot has changed its phase since."""

    kind: SlotTimerKind
    lot: LotKey
    index: int
    phase_changes: int
