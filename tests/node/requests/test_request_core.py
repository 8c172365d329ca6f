"""Requests end with a complete answer or with an error whose status is correct."""

from __future__ import annotations

import testtools

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import RequestId, RequestKey
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.core.events import AttemptFailed, AttemptRefused
from stagewalk.node.core.instructions import StartAttempt
from stagewalk.node.requests.config import HedgeConfig, MemoryConfig, RequestConfig, RetryConfig
from stagewalk.node.requests.notifications import RequestFailed
from tests.node.requests.support import TENANT, Driver, chunk, finished


def outcomes(driver: Driver) -> list[tuple[ErrorKind, ExecutionStatus]]:
    return [(error.kind, error.ran) for error in driver.errors()]


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
        self.assertEqual([ExecutionStatus.NO], [error.ran for error in driver.errors()])


class NotRepeatableRequestTest(testtools.TestCase):
    def test_claimed_before_dispatch_and_never_sent_twice(self) -> None:
        driver = Driver()
        driver.submit(repeatable=False)
        self.assertEqual([ProposeClaim], [type(output) for output in driver.outputs])
        driver.decide()
        start = driver.last_start()
        driver.handle(AttemptFailed(start.attempt, True, "reset"))
        driver.submit(repeatable=False)
        driver.advance(5.0)
        self.assertEqual(start, driver.last_start())
        self.assertEqual(
            [(ErrorKind.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)] * 2, outcomes(driver)
        )

    def test_undecided_claim_fails_at_once_and_is_never_sent_when_it_wins_late(self) -> None:
        driver = Driver()
        driver.submit(repeatable=False)
        error = StagewalkError(ErrorKind.TIMEOUT, ErrorStep.CLAIM, "n2,n3", "no majority")
        wanted = driver.of(ProposeClaim)[0]
        driver.take(driver.core.claim_undecided(wanted.key, error, driver.now))
        self.assertEqual([(ErrorKind.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)], outcomes(driver))
        driver.decide(won=True)
        driver.advance(5.0)
        self.assertEqual([], driver.of(StartAttempt))

    def test_resubmission_after_an_undecided_claim_proposes_the_same_value(self) -> None:
        """The first value may have been decided; a new one would lose to it and never run."""
        driver = Driver()
        driver.submit(repeatable=False)
        error = StagewalkError(ErrorKind.TIMEOUT, ErrorStep.CLAIM, "n2,n3", "no majority")
        first = driver.of(ProposeClaim)[0]
        driver.take(driver.core.claim_undecided(first.key, error, driver.now))
        driver.submit(repeatable=False)
        self.assertEqual(first, driver.of(ProposeClaim)[1])
        driver.decide()
        self.assertEqual(1, len(driver.of(StartAttempt)))

    def test_class_of_the_tenant_makes_it_not_repeatable(self) -> None:
        driver = Driver(non_repeatable_classes=("misting",))
        driver.submit(request_class="misting")
        self.assertEqual([ProposeClaim], [type(output) for output in driver.outputs])


class SameIdTest(testtools.TestCase):
    def test_second_submission_joins_and_gets_what_was_streamed(self) -> None:
        driver = Driver()
        driver.submit(stream=True)
        start = driver.last_start()
        driver.handle(chunk(start, 0, 4))
        joined = driver.submit(stream=True)[0]
        self.assertEqual("<0:4>", joined.held.text)
        self.assertEqual([start], driver.of(StartAttempt))

    def test_retained_answer_is_given_without_running_again(self) -> None:
        driver = Driver()
        for _ in range(2):
            driver.submit()
            driver.handle(chunk(driver.last_start(), 0, 4))
            driver.handle(finished(driver.last_start(), 4))
        self.assertEqual(["<0:4>"] * 2, [result.text for result in driver.results()])
        self.assertEqual(1, len(driver.of(StartAttempt)))

    def test_other_content_under_the_same_id_is_a_duplicate(self) -> None:
        driver = Driver()
        driver.submit()
        driver.submit(prompt="another question")
        driver.handle(finished(driver.last_start(), 0))
        driver.submit(prompt="another question")
        expected = [(ErrorKind.DUPLICATE, "request_id")] * 2
        self.assertEqual(expected, [(error.kind, error.field) for error in driver.errors()])

    def test_outcomes_retained_are_bounded(self) -> None:
        driver = Driver(RequestConfig(memory=MemoryConfig(maximum_retained=3)))
        for number in range(10):
            driver.submit(request_id=f"q{number}")
            driver.handle(finished(driver.last_start(), 0))
        self.assertEqual(3, len(driver.core._store.retained))


class VersionTest(testtools.TestCase):
    def test_unseen_part_is_dropped_rather_than_mixed(self) -> None:
        driver = Driver(allow_mixed_versions=False)
        driver.submit()
        first = driver.last_start()
        driver.handle(chunk(first, 0, 4))
        driver.report_all(active_version=2, generated_at=driver.now + 0.01)
        driver.handle(AttemptFailed(first.attempt, True, "reset"))
        driver.now += 1.0
        driver.take(driver.core.tick(driver.now))
        self.assertEqual(0, driver.last_start().resume_offset)

    def test_part_given_to_the_caller_pins_the_version(self) -> None:
        driver = Driver(allow_mixed_versions=False)
        driver.submit(stream=True)
        first = driver.last_start()
        driver.handle(chunk(first, 0, 4))
        driver.handle(chunk(first, 4, 8, version=2))
        self.assertEqual([first.attempt], driver.cancelled())
        driver.advance(1.0)
        resumed = driver.last_start()
        self.assertEqual(4, resumed.resume_offset)
        pins = (resumed.request.minimum_version, resumed.request.maximum_version)
        self.assertEqual((1, 1), pins)

    def test_version_the_tenant_does_not_allow_is_not_used(self) -> None:
        driver = Driver(maximum_version=1)
        driver.submit()
        driver.handle(chunk(driver.last_start(), 0, 4, version=2))
        self.assertEqual([driver.last_start().attempt], driver.cancelled())


class HedgeTest(testtools.TestCase):
    """Unseeded attempts answer differently; no caller may get parts of both."""

    def hedged(self) -> tuple[Driver, StartAttempt, StartAttempt]:
        hedge = HedgeConfig(minimum_samples=1, minimum_delay_seconds=0.3)
        driver = Driver(RequestConfig(hedge=hedge))
        driver.submit(request_id="before")
        driver.handle(chunk(driver.last_start(), 0, 4))
        driver.submit()
        driver.advance(1.0)
        first, second = driver.of(StartAttempt)[-2:]
        self.assertNotEqual(first.engine, second.engine)
        return driver, first, second

    def test_joined_stream_waits_until_one_attempt_is_left(self) -> None:
        driver, first, second = self.hedged()
        driver.submit(stream=True)
        driver.handle(chunk(first, 0, 4, text="A"))
        driver.handle(chunk(second, 0, 4, text="B"))
        self.assertEqual("", driver.streamed())
        driver.handle(finished(second, 4))
        self.assertEqual(("B", "B"), (driver.streamed(), driver.results()[0].text))
        self.assertIn(first.attempt, driver.cancelled())

    def test_resumption_goes_on_from_what_was_streamed(self) -> None:
        driver, first, second = self.hedged()
        driver.submit(stream=True)
        driver.handle(chunk(first, 0, 8, text="A"))
        driver.handle(AttemptFailed(first.attempt, True, "reset"))
        driver.handle(chunk(second, 0, 4, text="B"))
        driver.handle(AttemptFailed(second.attempt, True, "reset"))
        driver.advance(2.0)
        self.assertEqual("B", driver.last_start().resume_text)


class GiveUpTest(testtools.TestCase):
    def test_retry_budget_bounds_retries_of_a_tenant(self) -> None:
        retry = RetryConfig(budget_capacity=3.0, budget_per_request=0.0)
        driver = Driver(RequestConfig(retry=retry))
        for number in range(6):
            driver.submit(request_id=f"q{number}")
            driver.handle(AttemptFailed(driver.last_start().attempt, False, "no route"))
        self.assertEqual(9, len(driver.of(StartAttempt)))

    def test_final_error_is_returned_at_once(self) -> None:
        driver = Driver(RequestConfig(retry=RetryConfig(maximum_attempts=1)))
        driver.submit()
        said = driver.handle(AttemptRefused(driver.last_start().attempt, "full", 2.0))
        self.assertEqual([RequestFailed], [type(output) for output in said])
        self.assertEqual(
            (ExecutionStatus.NO, 2.0), (said[0].error.ran, said[0].error.retry_after_seconds)
        )

    def test_lost_final_frame_of_an_answer_at_full_length(self) -> None:
        driver = Driver()
        driver.submit(repeatable=False, max_tokens=4)
        driver.decide()
        driver.handle(chunk(driver.last_start(), 0, 4))
        driver.handle(AttemptFailed(driver.last_start().attempt, True, "reset"))
        self.assertEqual("length", driver.results()[0].finish_reason)

    def test_stalled_attempt_is_cancelled_and_its_answer_resumed(self) -> None:
        driver = Driver()
        driver.submit(stream=True)
        first = driver.last_start()
        driver.handle(chunk(first, 0, 4))
        driver.advance(7.0)
        self.assertEqual([first.attempt], driver.cancelled())
        self.assertEqual(4, driver.last_start().resume_offset)

    def test_stopping_node_refuses_new_and_finishes_the_rest(self) -> None:
        driver = Driver()
        driver.submit()
        driver.core.stop()
        driver.submit(request_id="late")
        late = RequestKey(TENANT, RequestId("late"))
        self.assertEqual([ErrorKind.STOPPING], [error.kind for error in driver.errors(late)])
        driver.handle(finished(driver.last_start(), 0))
        self.assertEqual(0, driver.core.in_flight_count())
        self.assertEqual(1, len(driver.results()))

    def test_refusal_of_a_loading_engine_does_not_lower_the_limit(self) -> None:
        driver = Driver()
        driver.submit()
        before = driver.admission._pools[driver.last_start().request.model].limiter.limit
        driver.handle(AttemptRefused(driver.last_start().attempt, "loading", 0.1))
        driver.report_all(running=8, waiting=4, generated_at=driver.now + 0.01)
        limiter = driver.admission._pools[driver.last_start().request.model].limiter
        self.assertEqual(before, limiter.limit)
        driver.handle(AttemptRefused(driver.last_start().attempt, "queue is full", 0.1))
        self.assertLess(limiter.limit, before)

    def test_refusal_of_a_request_sent_before_is_not_called_not_run(self) -> None:
        driver = Driver()
        driver.core.stop()
        driver.submit(resent=True)
        driver.submit(tenant="nobody", resent=True)
        ran = [output.error.ran for output in driver.outputs]
        self.assertEqual([ExecutionStatus.UNKNOWN] * 2, ran)

    def test_claim_proves_that_a_resent_request_did_not_run(self) -> None:
        driver = Driver(RequestConfig(retry=RetryConfig(maximum_attempts=1)))
        driver.submit(repeatable=False, resent=True)
        driver.decide()
        driver.handle(AttemptRefused(driver.last_start().attempt, "full", 1.0))
        self.assertEqual([ExecutionStatus.NO], [error.ran for error in driver.errors()])
