"""What leases tell the other cores of the node."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Epoch


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The log says that this process holds the duty; its orders carry `epoch`."""

    duty: str
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This process must stop acting for the duty: released, taken over, or in doubt."""

    duty: str


@dataclass(frozen=True, slots=True)
class AppendWanted:
    """A record is to be appended to a stream of the log."""

    stream: str
    payload: bytes


LeaseOutput = LeaseAcquired | LeaseLost | AppendWanted
