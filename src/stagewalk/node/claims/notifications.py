"""Requests of other cores to the claim core, and its outputs."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.errors import StagewalkError
from stagewalk.node.core.instructions import SendPeerMessage, WriteLogLine
from stagewalk.node.log_client.notifications import AppendToStream


@dataclass(frozen=True, slots=True)
class ProposeClaim:
    """Propose a value for a write-once key; `ClaimDecided` or `ClaimUndecided` follows."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read a write-once key; only a decided value is reported to the reader."""

    key: str


@dataclass(frozen=True, slots=True)
class ClaimDecided:
    """A key's value is decided.

    Attributes
    ----------
    value
        The decided value, the same for every reader, until the retention ends.
    won
        Whether that is the value `proposed` here. Proposers use distinct values, so at most
        one of them wins.
    proposed
        The value this node proposed; `None` for a read.
    """

    key: str
    value: bytes
    won: bool
    proposed: bytes | None = None


@dataclass(frozen=True, slots=True)
class ClaimAbsent:
    """The answer to a read: when the read began, nothing had been decided for the key."""

    key: str


@dataclass(frozen=True, slots=True)
class ClaimUndecided:
    """A proposal or read ended without an answer.

    `error.kind` is `OUTCOME_UNKNOWN` if the replicas lost the key's state or this proposal's
    value may still be decided, `TIMEOUT` if no majority answered, `OVER_LIMIT`, `UNREACHABLE` (no
    replica group is known) or `INVALID_REQUEST`.

    Attributes
    ----------
    offered
        False: the proposed value was sent to no replica and will never be decided.
        True: it may still be decided; a later read shows it.
    """

    key: str
    error: StagewalkError
    offered: bool = False
    proposed: bytes | None = None


ClaimOutput = (
    SendPeerMessage | WriteLogLine | ClaimDecided | ClaimAbsent | ClaimUndecided | AppendToStream
)
