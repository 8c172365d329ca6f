"""Judges the service's nine promises from a history of outside observations.

The system under test writes none of the history, so a promise is judged by what callers,
engines, trainers, operators and the log saw. A promise with no check is unproved.

Owns the order of the checks; relies on `checker_requests`, `checker_samples`, `checker_stops` and
`checker_configuration`, one for each kind of promise.
"""

from __future__ import annotations

from collections.abc import Sequence

from stagewalk.history.checker_configuration import (
    ConfigurationOracle,
    check_configuration,
    fold_timeline,
)
from stagewalk.history.checker_requests import check_requests
from stagewalk.history.checker_samples import check_samples
from stagewalk.history.checker_stops import check_stops
from stagewalk.history.checker_verdict import Verdict
from stagewalk.history.observations import AnyObservation


def check_history(history: Sequence[AnyObservation], oracle: ConfigurationOracle) -> Verdict:
    """Judge all promises; `history` must be in order of time, `oracle` fresh."""
    verdict = Verdict()
    timeline = fold_timeline(history, oracle)
    check_requests(history, verdict)
    check_samples(history, timeline, verdict)
    check_stops(history, verdict)
    check_configuration(history, timeline, verdict)
    return verdict
