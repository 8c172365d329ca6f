"""Rules for a submission: refuse it, answer it from an earlier outcome, or run it.

Pure functions of the request, the node's load, and the retained outcome of an earlier submission
with the same id. The limits are fields of `MemoryConfig`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from stagewalk.common.errors import ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import NodeName
from stagewalk.node.requests import errors
from stagewalk.node.requests.config import MemoryConfig
from stagewalk.node.requests.record import RequestRecord
from stagewalk.node.requests.retained import RetainedOutcome


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """A node's load of requests in progress.

    Attributes
    ----------
    claiming
        Requests whose claim is being decided.
    held_characters
        Characters of the prompts and answers of all requests.
    """

    requests: int
    claiming: int
    held_characters: int
    stopping: bool


class Resubmission(Enum):
    """How a submission is handled whose id has a retained outcome."""

    OTHER_REQUEST = auto()
    """An error: the id belongs to a request of other content."""
    ANSWER = auto()
    """The retained answer."""
    ERROR = auto()
    """An error: it may have run, and must not run again."""
    RUN = auto()
    """It is run like a new request."""


def refusal_of(
    record: RequestRecord, load: NodeLoad, memory: MemoryConfig, node: NodeName, now: float
) -> StagewalkError | None:
    """Return why a new request is refused; None if it is accepted."""
    if load.stopping:
        return errors.stopping(node, record.ran)
    if now >= record.request.deadline:
        return errors.deadline_passed(record, node, ErrorStep.VALIDATION)
    if load.requests >= memory.maximum_requests:
        return errors.too_many(node, record.ran, "too many requests are in progress")
    if load.held_characters >= memory.maximum_held_characters:
        return errors.too_many(
            node, record.ran, "the text of the requests in progress exceeds the limit"
        )
    if not record.request.repeatable and load.claiming >= memory.maximum_claiming:
        return errors.too_many(node, record.ran, "too many claims are being decided")
    return None


def resubmission(outcome: RetainedOutcome, fingerprint: str) -> Resubmission:
    """Return how a submission is handled, given the outcome of an earlier one of its id."""
    if outcome.fingerprint != fingerprint:
        return Resubmission.OTHER_REQUEST
    if outcome.result is not None:
        return Resubmission.ANSWER
    if outcome.repeatable or not outcome.may_have_run:
        return Resubmission.RUN
    return Resubmission.ERROR


def execution_status_of(outcome: RetainedOutcome) -> ExecutionStatus:
    """Return the execution status of an ended request."""
    return ExecutionStatus.UNKNOWN if outcome.may_have_run else ExecutionStatus.NO
