"""Identities of the processes that take part in claims, and the ballots that order proposals."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Address, Incarnation, NodeName


@dataclass(frozen=True, slots=True)
class Peer:
    """Current address and incarnation of another node."""

    address: Address
    incarnation: Incarnation


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Totally ordered identity of one proposer's attempt.

    `attempt` counts the proposer's attempts over all keys, so no two attempts share a ballot, and
    `incarnation` distinguishes those of a restarted proposer.
    """

    round: int
    proposer: NodeName
    incarnation: Incarnation
    attempt: int
