"""States of a request, classes of its attempts, and the transition table.

`docs/REQUESTS.md` shows the same table; a test keeps the two equal. Every transition is looked up
here; one that is not in the table raises `KeyError`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RequestState(StrEnum):
    """State of a request."""

    NEW = "new"
    """Submitted; not yet claimed or admitted."""
    CLAIMING = "claiming"
    """Not repeatable: its claim is being decided; nothing may be sent."""
    AWAITING_OWNER = "awaiting_owner"
    """Another node holds the claim; its answer is being fetched."""
    WAITING = "waiting"
    """In admission's queue."""
    ROUTING = "routing"
    """Admitted, without an attempt: searching for an engine or backing off."""
    RUNNING = "running"
    """At least one attempt is at an engine."""
    FINISHED = "finished"
    """Ended with a complete answer."""
    FAILED = "failed"
    """Ended with an error."""
    ABANDONED = "abandoned"
    """Ended without an answer: its callers disconnected."""


class Cause(StrEnum):
    """Cause of a state transition."""

    CLAIM_WANTED = "claim_wanted"
    CLAIM_LOST = "claim_lost"
    CLAIM_UNDECIDED = "claim_undecided"
    ANSWER_FETCHED = "answer_fetched"
    ANSWER_UNKNOWN = "answer_unknown"
    CLAIM_HANDED_OVER = "claim_handed_over"
    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"
    SHED = "shed"
    DISPATCHED = "dispatched"
    HEDGED = "hedged"
    ATTEMPT_LOST = "attempt_lost"
    RETRIED = "retried"
    GAVE_UP = "gave_up"
    OUTCOME_UNKNOWN = "outcome_unknown"
    WHOLE = "whole"
    DEADLINE = "deadline"
    ABANDONED = "abandoned"
    DETACHED = "detached"


class AttemptClass(StrEnum):
    """What is known about whether an attempt ran."""

    NOT_SENT = "not_sent"
    """Nothing of it can have reached the engine."""
    REFUSED = "refused"
    """The engine reported that it did not run it."""
    MAY_HAVE_RUN = "may_have_run"
    """Anything else, including attempts in progress or cancelled."""


@dataclass(frozen=True, slots=True)
class Transition:
    """One row of the table; `meaning` describes when it happens."""

    state: RequestState
    cause: Cause
    next_state: RequestState
    meaning: str


_S = RequestState
_C = Cause

TRANSITIONS = (
    Transition(_S.NEW, _C.CLAIM_WANTED, _S.CLAIMING, "Not repeatable: claim before all else."),
    Transition(_S.NEW, _C.ADMITTED, _S.ROUTING, "Repeatable, and there is room."),
    Transition(_S.NEW, _C.QUEUED, _S.WAITING, "Repeatable, and there is no room yet."),
    Transition(_S.NEW, _C.REFUSED, _S.FAILED, "Admission refuses it at once."),
    Transition(_S.CLAIMING, _C.ADMITTED, _S.ROUTING, "Claim won, and there is room."),
    Transition(_S.CLAIMING, _C.QUEUED, _S.WAITING, "Claim won, and there is no room yet."),
    Transition(_S.CLAIMING, _C.REFUSED, _S.FAILED, "Claim won, but admission refuses."),
    Transition(
        _S.CLAIMING, _C.CLAIM_LOST, _S.AWAITING_OWNER, "Another node owns it: ask for its answer."
    ),
    Transition(
        _S.CLAIMING, _C.OUTCOME_UNKNOWN, _S.FAILED, "Another claim won and no answer is fetched."
    ),
    Transition(
        _S.CLAIMING, _C.CLAIM_UNDECIDED, _S.FAILED, "Nobody can vouch for the claim: never sent."
    ),
    Transition(_S.CLAIMING, _C.DEADLINE, _S.FAILED, "The claim took too long: never sent."),
    Transition(_S.CLAIMING, _C.ABANDONED, _S.ABANDONED, "The callers left: never sent."),
    Transition(_S.AWAITING_OWNER, _C.ANSWER_FETCHED, _S.FINISHED, "The owner had the answer."),
    Transition(_S.AWAITING_OWNER, _C.ANSWER_UNKNOWN, _S.FAILED, "The owner has none, or is gone."),
    Transition(
        _S.AWAITING_OWNER, _C.CLAIM_HANDED_OVER, _S.CLAIMING, "The owner never ran it: it is ours."
    ),
    Transition(_S.AWAITING_OWNER, _C.DEADLINE, _S.FAILED, "The owner took too long."),
    Transition(_S.AWAITING_OWNER, _C.ABANDONED, _S.ABANDONED, "The callers left."),
    Transition(_S.WAITING, _C.ADMITTED, _S.ROUTING, "Its turn came."),
    Transition(_S.WAITING, _C.SHED, _S.FAILED, "Its deadline can't be met any more."),
    Transition(_S.WAITING, _C.ABANDONED, _S.ABANDONED, "The callers left."),
    Transition(_S.ROUTING, _C.DISPATCHED, _S.RUNNING, "An attempt is sent to an engine."),
    Transition(_S.ROUTING, _C.GAVE_UP, _S.FAILED, "No engine became eligible in time."),
    Transition(_S.ROUTING, _C.DEADLINE, _S.FAILED, "The deadline passed."),
    Transition(_S.ROUTING, _C.ABANDONED, _S.ABANDONED, "The callers left."),
    Transition(_S.RUNNING, _C.HEDGED, _S.RUNNING, "A second attempt, the first being late."),
    Transition(_S.RUNNING, _C.ATTEMPT_LOST, _S.RUNNING, "One of two attempts failed."),
    Transition(_S.RUNNING, _C.RETRIED, _S.ROUTING, "The last attempt failed; another is allowed."),
    Transition(_S.RUNNING, _C.GAVE_UP, _S.FAILED, "Attempts, budget or time are used up."),
    Transition(
        _S.RUNNING, _C.OUTCOME_UNKNOWN, _S.FAILED, "Not repeatable, and its attempt may have run."
    ),
    Transition(_S.RUNNING, _C.WHOLE, _S.FINISHED, "An attempt's answer is whole."),
    Transition(_S.RUNNING, _C.DEADLINE, _S.FAILED, "The deadline passed; attempts are cancelled."),
    Transition(_S.RUNNING, _C.ABANDONED, _S.ABANDONED, "Callers left a repeatable request."),
    Transition(
        _S.RUNNING, _C.DETACHED, _S.RUNNING, "Callers left one not repeatable: it runs to its end."
    ),
)

_NEXT_STATES = {(row.state, row.cause): row.next_state for row in TRANSITIONS}


def next_state(state: RequestState, cause: Cause) -> RequestState:
    """Return the state that a cause leads to; raise `KeyError` if it is not in the table."""
    return _NEXT_STATES[state, cause]
