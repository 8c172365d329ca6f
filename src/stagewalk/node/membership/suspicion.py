"""Timers of suspicions: how long a suspect has to refute before it is declared dead.

The timeout follows Lifeguard (Dadgar, Phillips, Currey 2018): it starts long and shrinks with each
independent accuser, so that one node with a bad link can't have a healthy member declared dead.
Times are seconds of this node's clock; the parameters are fields of `MembershipConfig`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stagewalk.common.identities import NodeName
from stagewalk.node.membership.config import MembershipConfig

FINAL_PROBES = 3
FINAL_PROBE_INTERVAL_SECONDS = 0.2
"""Probes of a suspect before it is declared dead, and the time between them, in case its refutation
was lost. Without them, live members are declared dead when a fifth of all datagrams is lost
(docs/design/0050-membership.md)."""


@dataclass(frozen=True, slots=True)
class ExpiredSuspicion:
    """A suspect to probe again, or to declare dead if `is_final`: it refuted no final probe."""

    name: NodeName
    is_final: bool


@dataclass(frozen=True, slots=True)
class SuspicionTerms:
    """How long a suspicion lasts, in seconds.

    `confirmations` is the number of further accusers that reduces it from `longest` to `shortest`.
    """

    shortest: float
    longest: float
    confirmations: int


def suspicion_terms(members: int, is_remote: bool, config: MembershipConfig) -> SuspicionTerms:
    """Return how long a suspicion lasts; like gossip, it grows with log10 of the members."""
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
    final_probes: int = 0
    next_final_probe_at: float = 0.0


class SuspicionTimers:
    """One timer for each suspect."""

    def __init__(self) -> None:
        self._running: dict[NodeName, _Suspicion] = {}

    def start(self, name: NodeName, accuser: NodeName, terms: SuspicionTerms, now: float) -> None:
        """Start a member's timer, or restart it if it is running."""
        self._running[name] = _Suspicion(now, terms, {accuser})

    def confirm(self, name: NodeName, accuser: NodeName) -> bool:
        """Count another accuser; return whether it is new and should be passed on."""
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
        """Postpone all timers by the time for which this process was paused."""
        for suspicion in self._running.values():
            suspicion.started_at += seconds

    def expired(self, now: float) -> list[ExpiredSuspicion]:
        """Return the suspects whose time to refute is over, sorted by name.

        Their refutation may have been lost, so each is returned for `FINAL_PROBES` further probes
        before the entry is final.
        """
        expired: list[ExpiredSuspicion] = []
        for name in sorted(self._running):
            suspicion = self._running[name]
            if (
                now < suspicion.started_at + _duration(suspicion)
                or now < suspicion.next_final_probe_at
            ):
                continue
            expired.append(ExpiredSuspicion(name, is_final=suspicion.final_probes == FINAL_PROBES))
            suspicion.final_probes += 1
            suspicion.next_final_probe_at = now + FINAL_PROBE_INTERVAL_SECONDS
        return expired


def _duration(suspicion: _Suspicion) -> float:
    terms = suspicion.terms
    if terms.confirmations <= 0:
        return terms.shortest
    confirmed = len(suspicion.accusers) - 1
    progress = math.log(confirmed + 1) / math.log(terms.confirmations + 1)
    return max(terms.shortest, terms.longest - progress * (terms.longest - terms.shortest))
