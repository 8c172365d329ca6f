"""What the lease core returns for the other cores of the node."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Epoch
from stagewalk.node.log_client.notifications import AppendToStream


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The log says that this process holds the duty; its orders carry `epoch`."""

    duty: str
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This process must stop acting for the duty: released, taken over, or in doubt."""

    duty: str


LeaseOutput = LeaseAcquired | LeaseLost | AppendToStream
