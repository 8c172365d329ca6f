"""The rule for suspicions: how long a member has to refute one, and who accuses it.

The wait follows Lifeguard (Dadgar, Phillips, Currey 2018): it starts long and shrinks with each
independent accuser, so that one node with a bad link can't have a healthy member declared dead.
Owns the running timers, in seconds of this node's clock; the constants are fields of
`MembershipConfig`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stagewalk.common.identities import NodeName
from stagewalk.node.membership.config import MembershipConfig

FINAL_PROBES = 3
FINAL_PROBE_INTERVAL_SECONDS = 0.2
"""Probes of a suspect before it is declared dead, and the time between them, in case its refutation
was lost: without them nodes that lose a fifth of their datagrams declare live members dead
(docs/design/0050-membership.md)."""


@dataclass(frozen=True, slots=True)
class LastCall:
    """A suspect to be asked a last time, or, if `is_final`, one that did not answer that."""

    name: NodeName
    is_final: bool


@dataclass(frozen=True, slots=True)
class SuspicionTerms:
    """How long a suspicion lasts, in seconds.

    `confirmations` is how many further accusers bring it from `longest` down to `shortest`.
    """

    shortest: float
    longest: float
    confirmations: int


def suspicion_terms(members: int, is_remote: bool, config: MembershipConfig) -> SuspicionTerms:
    """Return how long a suspicion lasts: with the logarithm of the members, as gossip does."""
    scale = max(1.0, math.log10(max(1, members))) * config.probe_interval
    shortest = config.suspicion_factor * scale
    if is_remote:
        shortest *= config.remote_suspicion_factor
    confirmations = min(config.suspicion_confirmations, max(0, members - 2))
    return SuspicionTerms(shortest, shortest * config.suspicion_spread, confirmations)


@dataclass(slots=True)
class _Suspicion:
    started_at: float
    terms: SuspicionTerms
    accusers: set[NodeName] = field(default_factory=set)
    last_calls: int = 0
    next_call_at: float = 0.0


class SuspicionTimers:
    """One timer for each suspect."""

    def __init__(self) -> None:
        self._running: dict[NodeName, _Suspicion] = {}

    def start(self, name: NodeName, accuser: NodeName, terms: SuspicionTerms, now: float) -> None:
        """Start a member's timer; a timer that runs starts anew."""
        self._running[name] = _Suspicion(now, terms, {accuser})

    def confirm(self, name: NodeName, accuser: NodeName) -> bool:
        """Count another accuser; return whether it is a new one worth passing on."""
        suspicion = self._running.get(name)
        if suspicion is None or accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > suspicion.terms.confirmations:
            return False
        suspicion.accusers.add(accuser)
        return True

    def stop(self, name: NodeName) -> None:
        """Remove a member's timer."""
        self._running.pop(name, None)

    def postpone(self, seconds: float) -> None:
        """Move all timers on, because this process was paused for that long."""
        for suspicion in self._running.values():
            suspicion.started_at += seconds

    def overdue(self, now: float) -> list[LastCall]:
        """Return the suspects whose time to deny is over, in the order of their names.

        Their denial may have been lost on its way here, so each is asked itself some times, and
        only then is it final.
        """
        calls: list[LastCall] = []
        for name in sorted(self._running):
            suspicion = self._running[name]
            if now < suspicion.started_at + _duration(suspicion) or now < suspicion.next_call_at:
                continue
            calls.append(LastCall(name, is_final=suspicion.last_calls == FINAL_PROBES))
            suspicion.last_calls += 1
            suspicion.next_call_at = now + FINAL_PROBE_INTERVAL_SECONDS
        return calls


def _duration(suspicion: _Suspicion) -> float:
    terms = suspicion.terms
    if terms.confirmations <= 0:
        return terms.shortest
    confirmed = len(suspicion.accusers) - 1
    progress = math.log(confirmed + 1) / math.log(terms.confirmations + 1)
    return max(terms.shortest, terms.longest - progress * (terms.longest - terms.shortest))
