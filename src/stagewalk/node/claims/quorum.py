"""Counting answers of replicas that may have restarted without their memory.

An answer is void once a later start of its replica is known to any other answerer: what the
answer promised may have died with the process. A replica that hands its state to a restarted
one notes the new incarnation first; so if two answers agree on the incarnations, each was given
before the other replica's successor recovered, and that successor has recovered the answer's
effect too ("crash-consistent" quorums: Michael, Ports, Sharma, Szekeres, "Recovering Shared
Objects Without Stable Storage", DISC 2017).
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
    """Add a replica's answer; one of an earlier start never replaces that of a later."""
    known = answers.get(name)
    if known is None or known.incarnation <= answer.incarnation:
        answers[name] = answer


def consistent_answers(
    answers: Mapping[NodeName, ReplicaAnswer[Payload]],
) -> dict[NodeName, ReplicaAnswer[Payload]]:
    """Return the answers that no other answer shows to be of an earlier start."""
    latest = merged_incarnations(answers)
    return {
        name: answer
        for name, answer in answers.items()
        if answer.incarnation >= latest.get(name, answer.incarnation)
    }


def merged_incarnations(
    answers: Mapping[NodeName, ReplicaAnswer[Payload]],
) -> dict[NodeName, Incarnation]:
    """Return the latest incarnation of each replica that any answerer knew."""
    latest: dict[NodeName, Incarnation] = {}
    for answer in answers.values():
        merge_incarnations(latest, answer.incarnations)
    return latest


def merge_incarnations(
    known: dict[NodeName, Incarnation], incarnations: Mapping[NodeName, Incarnation]
) -> None:
    """Raise known incarnations to those of an answer."""
    for name, incarnation in incarnations.items():
        known[name] = max(incarnation, known.get(name, incarnation))
