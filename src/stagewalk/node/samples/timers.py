"""Timers of slots: retries of rollouts, scores and claims. Plain data."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from stagewalk.node.samples.lots import LotKey


class SlotTimerKind(IntEnum):
    """What is due for a slot."""

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
    """Something due for a slot; out of date if the slot has moved on since `change`."""

    kind: SlotTimerKind
    lot: LotKey
    index: int
    change: int
