"""Identities of the processes that take part in claims, and the ballots that order proposals."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.common.identities import Address, Incarnation, NodeName


@dataclass(frozen=True, slots=True)
class Peer:
    """Where another node is reached now, and which start of it that is."""

    address: Address
    incarnation: Incarnation


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Totally ordered identity of one attempt of one proposer.

    `attempt` counts the proposer's attempts over all keys, so no two attempts share a ballot,
    and `incarnation` keeps those of a restarted proposer apart.
    """

    round: int
    proposer: NodeName
    incarnation: Incarnation
    attempt: int
