"""What other cores ask of the claims, and what the claims return to them."""

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
    """Read a write-once key; only a decided value is reported, absence changes nothing."""

    key: str


@dataclass(frozen=True, slots=True)
class ClaimDecided:
    """A key's value is decided for good.

    Attributes
    ----------
    value
        The decided value, the same for every reader, until the retention ends.
    won
        Whether that is the value `proposed` here. Proposers use values of their own, so at
        most one of them wins.
    proposed
        What this node proposed; `None` if it was a read.
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

    `error.kind` is `OUTCOME_UNKNOWN` if nobody can vouch for the key or this proposal's value
    may still be decided, `TIMEOUT` if no majority answered, `OVER_LIMIT`, `UNREACHABLE` (no
    replica group is known) or `INVALID_REQUEST`.

    Attributes
    ----------
    offered
        False: the proposed value was shown to no replica and will never be decided.
        True: it may be decided yet; a later read shows it.
    """

    key: str
    error: StagewalkError
    offered: bool = False
    proposed: bytes | None = None


ClaimOutput = (
    SendPeerMessage | WriteLogLine | ClaimDecided | ClaimAbsent | ClaimUndecided | AppendToStream
)
