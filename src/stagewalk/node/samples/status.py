"""State of a lot, in numbers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LotStatus:
    """State of one lot at this node.

    Attributes
    ----------
    slots, acknowledged, ready, running, waiting
        All slots, and those the trainer acknowledged, that a pull may take, that run, are scored
        or claimed, and that wait to run.
    stuck
        Slots that failed many times in a row.
    stale_reruns
        Samples found too stale, whose slots were run again.
    duplicates
        Stragglers run twice.
    unclaimed
        Samples ready without a decided claim.
    trainer_version
        Newest version the trainer has named.
    seconds_since_pull
        Seconds since the trainer's last call to this node.
    """

    tenant: str
    trainer: str
    step: int
    slots: int
    acknowledged: int
    ready: int
    running: int
    waiting: int
    stuck: int
    stale_reruns: int
    duplicates: int
    unclaimed: int
    trainer_version: int
    seconds_since_pull: float
