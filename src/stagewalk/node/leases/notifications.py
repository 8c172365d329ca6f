"""Notifications that the lease core returns for the other cores of the node."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Epoch
from stagewalk.node.log_client.notifications import AppendToStream


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This process holds the duty according to the log; its orders carry `epoch`."""

    duty: str
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This process must stop acting: the duty was released or taken over, or it was paused."""

    duty: str


LeaseOutput = LeaseAcquired | LeaseLost | AppendToStream
