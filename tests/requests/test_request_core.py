"""Requests end in their own whole answer or in a true statement of what happened."""

from __future__ import annotations

import testtools

from stagewalk.core.errors import ErrorKind, Ran
from stagewalk.core.events import AttemptFailed, AttemptRefused
from stagewalk.requests.notifications import ClaimWanted
from tests.requests.support import Driver, chunk, finished


class RepeatableRequestTest(testtools.TestCase):
    def test_whole_answer(self) -> None:
        driver = Driver()
        driver.submit(stream=True)
        start = driver.last_start()
        driver.handle(chunk(start, 0, 4))
        driver.handle(chunk(start, 4, 6))
        driver.handle(finished(start, 6))
        self.assertEqual("<0:4><4:6>", driver.results()[0].text)
        self.assertEqual("<0:4><4:6>", driver.streamed())

    def test_cut_stream_is_resumed(self) -> None:
        driver = Driver()
        driver.submit(stream=True)
        first = driver.last_start()
        driver.handle(chunk(first, 0, 4))
        driver.handle(AttemptFailed(first.attempt, True, "reset"))
        driver.advance(1.0)
        second = driver.last_start()
        self.assertNotEqual(first.engine, second.engine)
        self.assertEqual((4, "<0:4>"), (second.resume_offset, second.resume_text))
        driver.handle(chunk(second, 4, 6, sequence=0))
        driver.handle(finished(second, 6))
        self.assertEqual("<0:4><4:6>", driver.results()[0].text)
        self.assertEqual("<0:4><4:6>", driver.streamed())

    def test_refused_everywhere_is_not_run(self) -> None:
        driver = Driver()
        driver.submit()
        for _ in range(40):
            if driver.errors():
                break
            driver.handle(AttemptRefused(driver.last_start().attempt, "full", 0.1))
            driver.advance(0.5)
        self.assertEqual([Ran.NO], [error.ran for error in driver.errors()])


class NotRepeatableRequestTest(testtools.TestCase):
    def test_claimed_before_dispatch_and_never_sent_twice(self) -> None:
        driver = Driver()
        driver.submit(repeatable=False)
        self.assertEqual([ClaimWanted], [type(output) for output in driver.outputs])
        driver.decide()
        start = driver.last_start()
        driver.handle(AttemptFailed(start.attempt, True, "reset"))
        driver.submit(repeatable=False)
        driver.advance(5.0)
        self.assertEqual(start, driver.last_start())
        kinds = [(error.kind, error.ran) for error in driver.errors()]
        self.assertEqual([(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)] * 2, kinds)
