"""Repeated probe failures mark a runner as gone; a single or an old failure doesn't."""

from __future__ import annotations

import testtools

from stagewalk.gateway.batches.runner_liveness import (
    MINIMUM_FAILING_SECONDS,
    PROBE_VALID_SECONDS,
    RunnerLiveness,
)


class LivenessTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.liveness = RunnerLiveness()

    def test_an_unknown_process_is_not_gone(self) -> None:
        self.assertFalse(self.liveness.gone("n#1", 0.0) or self.liveness.replaced("n#1", 0.0))

    def test_one_failure_or_several_at_once_are_not_enough(self) -> None:
        for _ in range(3):
            self.liveness.record_failure("n#1", 5.0)
        self.assertFalse(self.liveness.gone("n#1", 5.0))

    def test_repeated_failures_over_time_mean_gone(self) -> None:
        self.liveness.record_failure("n#1", 5.0)
        self.liveness.record_failure("n#1", 5.1 + MINIMUM_FAILING_SECONDS)
        self.assertTrue(self.liveness.gone("n#1", 5.1 + MINIMUM_FAILING_SECONDS))

    def test_an_answer_resets_the_failures(self) -> None:
        self.liveness.record_failure("n#1", 5.0)
        self.liveness.record_answer("n#1", "n#1", 5.2)
        self.liveness.record_failure("n#1", 5.5)
        self.assertFalse(self.liveness.gone("n#1", 5.5))

    def test_old_failures_are_ignored(self) -> None:
        self.liveness.record_failure("n#1", 5.0)
        late = 5.1 + PROBE_VALID_SECONDS
        self.liveness.record_failure("n#1", late)
        self.assertFalse(self.liveness.gone("n#1", late))
        self.liveness.record_failure("n#1", late + 1.0)
        self.assertTrue(self.liveness.gone("n#1", late + 1.0))
        self.assertFalse(self.liveness.gone("n#1", late + 1.1 + PROBE_VALID_SECONDS))

    def test_a_replaced_process_is_detected(self) -> None:
        self.liveness.record_answer("n#1", "n#2", 5.0)
        self.assertTrue(self.liveness.replaced("n#1", 5.1))
        self.liveness.record_answer("n#1", "n#1", 5.2)
        self.assertFalse(self.liveness.replaced("n#1", 5.3))
        self.liveness.keep_only(set())
        self.assertFalse(self.liveness.gone("n#1", 5.3))
