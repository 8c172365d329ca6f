"""The checker's result: how often each promise was checked, and its violations.

Defines the promises, the counts and the report of a violation.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from stagewalk.history.observations import AnyObservation

MAXIMUM_EVENTS_SHOWN = 40
MAXIMUM_FIELD_LENGTH = 120


class Promise(StrEnum):
    """The promises that the service keeps under any fault."""

    VERSION_NAMED = "version_named"
    STALENESS_BOUND = "staleness_bound"
    EXACTLY_ONCE = "exactly_once"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN_TRUE = "not_run_true"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_NO_WORK = "leaving_no_work"
    PLANNED_STOP_CLEAN = "planned_stop_clean"
    CONFIG_IN_FORCE = "config_in_force"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise.

    Attributes
    ----------
    at
        When the observation that shows it was made, in seconds.
    subject
        The request, slot, process or record it is about.
    events
        The subject's observations in order of time.
    """

    promise: Promise
    at: float
    subject: str
    detail: str
    events: tuple[AnyObservation, ...] = ()

    def explain(self) -> str:
        """Return a readable report: the violation, then its observations in order of time."""
        heading = f"{self.promise} at {self.at:.3f} s: {self.subject}: {self.detail}"
        shown = [f"    {render(event)}" for event in self.events[:MAXIMUM_EVENTS_SHOWN]]
        left_out = len(self.events) - len(shown)
        if left_out > 0:
            shown.append(f"    ... and {left_out} more")
        return "\n".join([heading, *shown])


@dataclass(slots=True)
class Verdict:
    """Counts of checks and all violations, by promise."""

    checked: dict[Promise, int] = field(default_factory=lambda: dict.fromkeys(Promise, 0))
    violations: dict[Promise, list[Violation]] = field(
        default_factory=lambda: {promise: [] for promise in Promise}
    )

    def check(self, promise: Promise, count: int = 1) -> None:
        """Count checks made."""
        self.checked[promise] += count

    def violate(
        self,
        promise: Promise,
        at: float,
        subject: str,
        detail: str,
        events: Iterable[AnyObservation] = (),
    ) -> None:
        """Record a violation with the observations that explain it."""
        ordered = tuple(sorted(events, key=lambda event: event.at))
        self.violations[promise].append(Violation(promise, at, subject, detail, ordered))

    @property
    def violation_count(self) -> int:
        """Return the number of violations of all promises."""
        return sum(len(found) for found in self.violations.values())

    @property
    def unchecked(self) -> tuple[Promise, ...]:
        """Return the promises that were never checked, and so are unproved."""
        return tuple(promise for promise, count in self.checked.items() if count == 0)

    def table(self) -> str:
        """Return checks and violations of each promise as lines of text."""
        lines = [f"{'promise':<20} {'checked':>9} {'violations':>11}"]
        for promise in Promise:
            counts = f"{self.checked[promise]:>9} {len(self.violations[promise]):>11}"
            lines.append(f"{promise:<20} {counts}")
        return "\n".join(lines)

    def explanations(self, limit_per_promise: int) -> list[str]:
        """Return readable reports of the first violations of each promise."""
        chosen: list[Violation] = []
        for found in self.violations.values():
            chosen.extend(found[:limit_per_promise])
        return [violation.explain() for violation in chosen]


def render(observation: AnyObservation) -> str:
    """Return an observation as one line: time, kind, then its fields as key=value pairs."""
    fields = msgspec.structs.asdict(observation)
    at = fields.pop("at")
    pairs = " ".join(f"{name}={_shorten(value)}" for name, value in fields.items())
    return f"{at:10.3f} {type(observation).__name__} {pairs}"


def _shorten(value: object) -> str:
    text = str(value)
    if len(text) <= MAXIMUM_FIELD_LENGTH:
        return text
    return f"{text[:MAXIMUM_FIELD_LENGTH]}...({len(text)} characters)"
