"""Mechanisms switched off one at a time, inside the simulation only, to prove the checker."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.history.checker_verdict import Promise
from stagewalk.simulation.node_host import CoreFactory


@dataclass(frozen=True, slots=True)
class Mutant:
    """A core with one mechanism switched off, and the promise that this breaks."""

    factory: CoreFactory
    breaks: Promise
    explanation: str


MUTANTS: dict[str, Mutant] = {}
