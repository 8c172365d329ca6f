"""Suspicions that run: how long a member has to deny, and who accuses it.

The wait follows Lifeguard (Dadgar, Phillips, Currey 2018): it starts long and shrinks with each
independent accuser, so that one node with a bad link can't have a healthy member declared dead.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stagewalk.core.identities import NodeName


@dataclass(frozen=True, slots=True)
class SuspicionTerms:
    """How long a suspicion lasts, in seconds.

    `confirmations` is how many further accusers bring it from `longest` down to `shortest`.
    """

    shortest: float
    longest: float
    confirmations: int


@dataclass(slots=True)
class _Suspicion:
    began_at: float
    terms: SuspicionTerms
    accusers: set[NodeName] = field(default_factory=set)


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
        """Forget a member's timer."""
        self._running.pop(name, None)

    def postpone(self, seconds: float) -> None:
        """Move all timers on, because this process could not hear anyone for that long."""
        for suspicion in self._running.values():
            suspicion.began_at += seconds

    def expired(self, now: float) -> list[NodeName]:
        """Return the members whose time to deny is over, in the order of their names."""
        if not self._running:
            return []
        return sorted(
            name
            for name, suspicion in self._running.items()
            if now >= suspicion.began_at + _duration(suspicion)
        )


def _duration(suspicion: _Suspicion) -> float:
    terms = suspicion.terms
    if terms.confirmations <= 0:
        return terms.shortest
    confirmed = len(suspicion.accusers) - 1
    progress = math.log(confirmed + 1) / math.log(terms.confirmations + 1)
    return max(terms.shortest, terms.longest - progress * (terms.longest - terms.shortest))
