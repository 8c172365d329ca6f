"""Applies every pair of faults in every state and covers every row of the table."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from unittest import mock

import testtools

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.node.admission.config import AdmissionConfig, LimiterConfig
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.core.completions import CompletionResult
from stagewalk.node.core.events import AttemptFailed, AttemptFinished, AttemptRefused
from stagewalk.node.core.instructions import StartAttempt
from stagewalk.node.requests import store
from stagewalk.node.requests.claim_value import ClaimValue, encode_claim
from stagewalk.node.requests.config import HedgeConfig, RequestConfig, RetryConfig
from stagewalk.node.requests.notifications import FetchAnswer
from stagewalk.node.requests.record import fingerprint_of
from stagewalk.node.requests.states import TRANSITIONS, Cause, RequestState, next_state
from tests.node.requests.support import KEY, Driver, chunk, finished, request

DOCUMENT = Path(__file__).resolve().parents[3] / "docs" / "REQUESTS.md"
CONFIG = RequestConfig(hedge=HedgeConfig(minimum_samples=1, minimum_delay_seconds=0.3))
ONE_SLOT = AdmissionConfig(
    free_room_fraction=0.0, limiter=LimiterConfig(initial_limit=1.0, minimum_limit=1.0)
)
OTHERS_CLAIM = encode_claim(
    ClaimValue("n2", 1, "nonce", fingerprint_of(request(repeatable=False)))  # type: ignore[arg-type]
)


def occupy_only_slot(driver: Driver) -> None:
    driver.submit(request_id="other")
    driver.outputs.clear()


def silence_engines(driver: Driver) -> None:
    driver.advance(3.0, engines_report=False, step=1.0)


def driver_in_state(state: str, repeatable: bool) -> Driver:
    """Return a driver whose request `KEY` is in a state."""
    driver = Driver(CONFIG, admission=ONE_SLOT if state == "waiting" else None)
    if state == "waiting":
        occupy_only_slot(driver)
    if state == "routing":
        silence_engines(driver)
    driver.submit(repeatable=repeatable, deadline=driver.now + 20.0, stream=state == "answering")
    if not repeatable and state == "awaiting_owner":
        driver.decide(False, OTHERS_CLAIM)
    elif not repeatable and state != "claiming":
        driver.decide()
    if state == "answering":
        driver.handle(chunk(driver.last_start(), 0, 4))
    expected = "running" if state == "answering" else state
    assert driver.core._store.records[KEY].state == expected
    return driver


def fail(sent: bool) -> Callable[[Driver], None]:
    def event(driver: Driver) -> None:
        for start in driver.of(StartAttempt):
            driver.handle(AttemptFailed(start.attempt, sent, "reset"))

    return event


def refuse(driver: Driver) -> None:
    for start in driver.of(StartAttempt):
        driver.handle(AttemptRefused(start.attempt, "draining", 1.0))


def truncate(driver: Driver) -> None:
    for start in driver.of(StartAttempt):
        driver.handle(finished(start, 50))


def undecided(driver: Driver) -> None:
    error = StagewalkError(ErrorKind.TIMEOUT, ErrorStep.CLAIM, "n2,n3", "no majority")
    for wanted in driver.of(ProposeClaim):
        driver.take(driver.core.claim_undecided(wanted.key, error, driver.now))


def decide_again(driver: Driver) -> None:
    for wanted in driver.of(ProposeClaim):
        driver.take(driver.core.claim_decided(wanted.key, wanted.value, True, driver.now))


def owner_answers(text: str | None) -> Callable[[Driver], None]:
    def event(driver: Driver) -> None:
        result = None if text is None else CompletionResult(text, 4, (), "stop")
        driver.take(driver.core.answer_fetched(KEY, result, "not known", driver.now))

    return event


def hand_over(driver: Driver) -> None:
    for wanted in driver.of(FetchAnswer):
        driver.take(driver.core.claim_handed_over(KEY, wanted.query_id, driver.now))


EVENTS: dict[str, Callable[[Driver], None]] = {
    "engine killed": fail(sent=True),
    "engine unreachable": fail(sent=False),
    "refused": refuse,
    "truncated": truncate,
    "claim undecided": undecided,
    "claim decided": decide_again,
    "claim lost": lambda driver: [  # type: ignore[dict-item,return-value]
        driver.take(driver.core.claim_decided(wanted.key, OTHERS_CLAIM, False, driver.now))
        for wanted in driver.of(ProposeClaim)
    ],
    "owner answers": owner_answers("<0:4>"),
    "owner knows nothing": owner_answers(None),
    "owner hands over": hand_over,
    "engines silent": silence_engines,
    "a while": lambda driver: driver.advance(1.0, step=0.5) and None,  # type: ignore[func-returns-value]
    "deadline": lambda driver: driver.advance(25.0, step=2.4) and None,  # type: ignore[func-returns-value]
    "caller gone": lambda driver: driver.take(driver.core.abandon(KEY, driver.now)) and None,  # type: ignore[func-returns-value]
    "planned stop": lambda driver: driver.core.stop(),
}


def kind_and_status(driver: Driver) -> tuple[ErrorKind, ExecutionStatus]:
    error = driver.errors()[0]
    return error.kind, error.ran


class StateTransitionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.taken: set[tuple[RequestState, Cause]] = set()
        patch = mock.patch.object(store, "next_state", self.record_transition)
        patch.start()
        self.addCleanup(patch.stop)

    def record_transition(self, state: RequestState, cause: Cause) -> RequestState:
        self.taken.add((state, cause))
        return next_state(state, cause)

    def end(self, driver: Driver, name: str, repeatable: bool, may_have_run: set[str]) -> None:
        """Finish the attempts still running, then check the final answer."""
        driver.advance(5.0, step=1.0)
        self.assertTrue(repeatable or not may_have_run or not driver.core._store.by_attempt, name)
        for start in driver.of(StartAttempt):
            held = start.resume_offset
            driver.handle(chunk(start, held, 8, sequence=99))
            driver.handle(finished(start, 8))
        driver.advance(25.0, step=2.4)
        finals = len(driver.errors()) + len(driver.results())
        least = 0 if "caller gone" in name else 1
        self.assertTrue(least <= finals <= 1, f"{name}: {finals} answers")
        self.assertNotIn(KEY, driver.core._store.records, name)
        for error in driver.errors():
            if error.ran is ExecutionStatus.NO:
                self.assertEqual(set(), may_have_run, name)

    def check_fault_pair(self, state: str, repeatable: bool, event: str, second_event: str) -> None:
        name = f"{state} repeatable={repeatable}: {event}, then {second_event}"
        driver = driver_in_state(state, repeatable)
        may_have_run: set[str] = set()
        for each in (event, second_event):
            running = set(driver.core._store.by_attempt)
            EVENTS[each](driver)
            if each in ("engine killed", "truncated") and state != "waiting":
                may_have_run |= running
        self.assertTrue(repeatable or len(may_have_run) <= 1, name)
        self.end(driver, name, repeatable, may_have_run)

    def test_every_state_meets_every_pair_of_faults(self) -> None:
        for repeatable in (True, False):
            states = ("waiting", "routing", "running", "answering")
            for state in states if repeatable else ("claiming", "awaiting_owner", *states):
                for event in EVENTS:
                    for second_event in EVENTS:
                        self.check_fault_pair(state, repeatable, event, second_event)
        self.lose_a_hedged_attempt()
        self.run_rare_transitions()
        self.refuse_at_admission(repeatable=True)
        self.refuse_at_admission(repeatable=False)
        missing = {(row.state, row.cause) for row in TRANSITIONS} - self.taken
        self.assertEqual(set(), missing)

    def lose_a_hedged_attempt(self) -> None:
        driver = Driver(CONFIG)
        driver.submit(request_id="first")
        driver.handle(chunk(driver.last_start(), 0, 4))
        driver.submit()
        driver.advance(1.0)
        first, second = driver.of(StartAttempt)[-2:]
        driver.handle(AttemptFailed(first.attempt, True, "reset"))
        driver.handle(chunk(second, 0, 4))
        driver.handle(finished(second, 4))
        self.assertEqual("<0:4>", driver.results()[0].text)

    def run_rare_transitions(self) -> None:
        lost = Driver(CONFIG)
        lost.submit(repeatable=False)
        lost.decide(False, b"not a claim")
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, lost.errors()[0].kind)

        slow_owner = Driver(CONFIG)
        slow_owner.submit(repeatable=False, deadline=3.0)
        slow_owner.decide(False, OTHERS_CLAIM)
        slow_owner.advance(4.0)
        self.assertEqual(ExecutionStatus.UNKNOWN, slow_owner.errors()[0].ran)

        paused = driver_in_state("routing", repeatable=True)
        paused.now += 60.0
        paused.take(paused.core.tick(paused.now))
        self.assertEqual((ErrorKind.DEADLINE, ExecutionStatus.NO), kind_and_status(paused))

        once = Driver(RequestConfig(retry=RetryConfig(maximum_attempts=1)))
        once.submit()
        fail(sent=True)(once)
        self.assertEqual((ErrorKind.ENGINE_FAILED, ExecutionStatus.UNKNOWN), kind_and_status(once))

        waiting = driver_in_state("waiting", repeatable=True)
        for attempt in list(waiting.core._store.by_attempt):
            waiting.handle(AttemptFinished(attempt, 0, "stop"))
        self.assertEqual(KEY.request_id, waiting.last_start().request.request_id)

    def refuse_at_admission(self, repeatable: bool) -> None:
        driver = Driver(CONFIG, admission=ONE_SLOT)
        occupy_only_slot(driver)
        driver.submit(repeatable=repeatable, deadline=1.5)
        if not repeatable:
            driver.decide()
        error = driver.errors()[0]
        self.assertEqual((ErrorStep.ADMISSION, ExecutionStatus.NO), (error.step, error.ran))
        self.assertIsNotNone(error.retry_after_seconds)

    def test_document_shows_the_table(self) -> None:
        rows = [
            f"| {row.state} | {row.cause} | {row.next_state} | {row.meaning} |"
            for row in TRANSITIONS
        ]
        text = DOCUMENT.read_text()
        shown = [line for line in text.splitlines() if line.startswith("| ")]
        self.assertEqual(rows, [line for line in shown if line.count("|") == 5][2:])
