"""Checks the service's nine promises against a history of external observations.

The history is recorded by callers, engines, trainers, operators and the log, never by the system
under test. A promise that was never checked counts as unproved.

Runs the checks of `checker_requests`, `checker_samples`, `checker_stops` and
`checker_configuration` in order.
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
    """Check all promises; `history` must be in order of time, `oracle` in its initial state."""
    verdict = Verdict()
    timeline = fold_timeline(history, oracle)
    check_requests(history, verdict)
    check_samples(history, timeline, verdict)
    check_stops(history, verdict)
    check_configuration(history, timeline, verdict)
    return verdict
