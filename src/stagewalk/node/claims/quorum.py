"""Crash-consistent quorums of replicas that may have restarted without their state.

An answer is invalid once any other answerer knows a later incarnation of its replica: the promise
may have been lost in the restart. A replica records the new incarnation before it hands its state
to a restarted one, so if two answers agree on the incarnations, each was given before the other
replica's successor recovered, and that successor has recovered the effect of the answer too
(Michael, Ports, Sharma, Szekeres, "Recovering Shared Objects Without Stable Storage", DISC 2017).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from stagewalk.common.identities import Incarnation, NodeName

Payload = TypeVar("Payload")


@dataclass(frozen=True, slots=True)
class ReplicaAnswer(Generic[Payload]):
    """One replica's answer, with the incarnations it knew when giving it."""

    incarnation: Incarnation
    incarnations: Mapping[NodeName, Incarnation]
    payload: Payload


def add_answer(
    answers: dict[NodeName, ReplicaAnswer[Payload]], name: NodeName, answer: ReplicaAnswer[Payload]
) -> None:
    """Add a replica's answer unless one of a later incarnation is present."""
    known = answers.get(name)
    if known is None or known.incarnation <= answer.incarnation:
        answers[name] = answer


def consistent_answers(
    answers: Mapping[NodeName, ReplicaAnswer[Payload]],
) -> dict[NodeName, ReplicaAnswer[Payload]]:
    """Return the answers whose replica no other answer shows to have restarted since."""
    latest = merged_incarnations(answers)
    return {
        name: answer
        for name, answer in answers.items()
        if answer.incarnation >= latest.get(name, answer.incarnation)
    }


def merged_incarnations(
    answers: Mapping[NodeName, ReplicaAnswer[Payload]],
) -> dict[NodeName, Incarnation]:
    """Return the latest incarnation of each replica known to any answerer."""
    latest: dict[NodeName, Incarnation] = {}
    for answer in answers.values():
        merge_incarnations(latest, answer.incarnations)
    return latest


def merge_incarnations(
    known: dict[NodeName, Incarnation], incarnations: Mapping[NodeName, Incarnation]
) -> None:
    """Update known incarnations with larger ones of an answer."""
    for name, incarnation in incarnations.items():
        known[name] = max(incarnation, known.get(name, incarnation))
