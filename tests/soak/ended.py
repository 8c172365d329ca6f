"""What reaches workers of batches that have ended, and how long after the end."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime

BOUND_SECONDS = 3.0
"""After its end was acknowledged nothing of a batch may reach a worker later than this."""

PROMISE = "nothing of an ended batch reaches a worker after its bound"


@dataclass(frozen=True)
class LateArrival:
    """An item that reached a worker after the bound.

    Attributes
    ----------
    age_seconds
        From the acknowledgement of the batch's end to the arrival.
    sender
        The gateway that sent it; None if the connection was gone before it could be traced.
    at
        Wall clock in UTC, as the gateways' logs have it.
    """

    batch: str
    item: str
    worker: str
    age_seconds: float
    sender: str | None
    in_touch: bool
    at: str

    def line(self) -> str:
        """Return it as text."""
        return (
            f"{self.at} batch={self.batch} item={self.item} worker={self.worker} "
            f"age={self.age_seconds:.3f} sender={self.sender} in_touch={self.in_touch}"
        )


@dataclass
class EndedBatches:
    """Knows from trainers when ends were acknowledged, and judges what workers saw.

    Parameters
    ----------
    sender_of
        Names the gateway at the other end of a worker's connection, by the two ports.
    in_touch
        Whether a gateway is in touch now.
    """

    sender_of: Callable[[int, int], str | None]
    in_touch: Callable[[str], bool]
    late: list[LateArrival] = field(default_factory=list)
    in_time: int = 0
    """Items that arrived after the acknowledgement but within the bound."""
    acknowledged: dict[str, float] = field(default_factory=dict)
    resubmitted: set[str] = field(default_factory=set)
    """Batches that were handed in again after their end was acknowledged, and taken."""
    _batch_of: dict[str, str] = field(default_factory=dict)

    def handed_in(self, batch: str, items: tuple[str, ...]) -> None:
        for item in items:
            self._batch_of[item] = batch

    def acknowledge(self, batch: str) -> None:
        """Note that an end was answered 200; only the first answer counts."""
        self.acknowledged.setdefault(batch, time.monotonic())

    def arrived(self, item: str, worker: str, own_port: int, peer_port: int) -> None:
        """Take an item that a worker begins to run now."""
        batch = self._batch_of.get(item)
        acknowledged = None if batch is None else self.acknowledged.get(batch)
        if batch is None or acknowledged is None:
            return
        age = time.monotonic() - acknowledged
        if age <= BOUND_SECONDS:
            self.in_time += 1
            return
        sender = self.sender_of(own_port, peer_port)
        touched = sender is not None and self.in_touch(sender)
        at = datetime.fromtimestamp(time.time(), UTC).strftime("%H:%M:%S.%f")
        self.late.append(LateArrival(batch, item, worker, age, sender, touched, at))

    @property
    def violations(self) -> list[LateArrival]:
        return [arrival for arrival in self.late if arrival.in_touch]

    def summary(self) -> list[str]:
        """Return a line for each ended batch and sender in touch that broke the promise."""
        groups: dict[tuple[str, str | None], list[LateArrival]] = defaultdict(list)
        for arrival in self.violations:
            groups[(arrival.batch, arrival.sender)].append(arrival)
        return [
            f"{batch} from {sender}: {len(group)} items, {group[0].age_seconds:.2f} to "
            f"{group[-1].age_seconds:.2f} s after the end, first at {group[0].at}"
            for (batch, sender), group in groups.items()
        ]

    def counts(self) -> dict[str, int]:
        """Return what was seen, by kind."""
        unknown = sum(arrival.sender is None for arrival in self.late)
        return {
            "ended batches watched": len(self.acknowledged),
            "ended batches handed in again": len(self.resubmitted),
            "items of ended batches within the bound": self.in_time,
            "late items from gateways in touch": len(self.violations),
            "late items from gateways not in touch": len(self.late)
            - len(self.violations)
            - unknown,
            "late items whose sender was gone": unknown,
        }
