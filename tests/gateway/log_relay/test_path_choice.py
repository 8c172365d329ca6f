"""The direct path is preferred, left while only the relay works, and probed again."""

from __future__ import annotations

import testtools

from stagewalk.gateway.log_relay.path_choice import PROBE_INTERVAL_SECONDS, PathChoice
from stagewalk.gateway.ports.partitioned_log import LogFailure, LogFault

NO_ANSWER = LogFailure(LogFault.UNKNOWN, "no answer")


class PathChoiceTests(testtools.TestCase):
    def test_an_answer_of_the_log_is_final(self) -> None:
        choice = PathChoice()
        self.assertTrue(choice.record_direct(None, 0.0))
        self.assertTrue(choice.record_direct(LogFailure(LogFault.CONFLICT, ""), 0.0))
        self.assertFalse(choice.relaying)

    def test_a_relay_that_works_is_used_until_the_direct_path_works(self) -> None:
        choice = PathChoice()
        self.assertFalse(choice.record_direct(NO_ANSWER, 1.0))
        self.assertTrue(choice.direct_first(1.0))
        choice.record_relay(True, 1.1)
        self.assertTrue(choice.direct_first(1.2))
        self.assertFalse(choice.direct_first(1.3))
        choice.record_direct(NO_ANSWER, 1.4)
        self.assertTrue(choice.relaying)
        self.assertTrue(choice.direct_first(1.3 + PROBE_INTERVAL_SECONDS))
        choice.record_direct(None, 2.5)
        self.assertTrue(choice.direct_first(2.6))
        self.assertFalse(choice.relaying)

    def test_if_neither_path_works_the_direct_one_is_tried_first(self) -> None:
        choice = PathChoice()
        choice.record_direct(NO_ANSWER, 1.0)
        choice.record_relay(False, 1.1)
        self.assertTrue(choice.direct_first(1.2))
        self.assertTrue(choice.direct_first(1.3))
