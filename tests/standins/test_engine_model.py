"""Tests of the engine model: batching, prefix cache, weight swaps and reports."""

from __future__ import annotations

from collections import defaultdict

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.identities import AttemptId, ModelName, WeightVersion
from stagewalk.history.answer_text import answer_length, wholeness_fault
from stagewalk.node.core.platform import EngineOrderOutcome, EngineState, OrderKind
from stagewalk.simulation.engine_messages import (
    Accepted,
    ActivationEnded,
    AttemptDone,
    AttemptPreempted,
    CacheEventKind,
    ChunkProduced,
    Duplicate,
    EngineOutput,
    EngineRequest,
    Refused,
    StagingStarted,
    WorkOutcome,
)
from stagewalk.simulation.engine_model import SimulatedEngine
from tests.standins.engines import engine, order, request, run_to_idle

LONG_PROMPT = "map sheet 12, names along the wadi. " * 60


def texts(outputs: list[EngineOutput]) -> dict[str, str]:
    collected: defaultdict[str, str] = defaultdict(str)
    for output in outputs:
        if isinstance(output, ChunkProduced):
            collected[output.attempt] += output.chunk.text
    return collected


def finished(outputs: list[EngineOutput]) -> dict[str, AttemptDone]:
    return {each.attempt: each for each in outputs if isinstance(each, AttemptDone)}


def finish_time(model: SimulatedEngine, attempt: str) -> float:
    while (wakeup := model.next_wakeup()) is not None:
        if attempt in finished(model.advance(wakeup)):
            return wakeup
    raise AssertionError(f"{attempt} never finished")


def stage(model: SimulatedEngine, version: int, now: float, epoch: int = 1) -> None:
    model.order(order(OrderKind.STAGE, version, epoch), now)
    model.stage_ended(WeightVersion(version), True, now)


class BatchingTest(testtools.TestCase):
    def test_answers_are_whole_and_end_with_their_count(self) -> None:
        model = engine()
        asked = [request(f"a{index}") for index in range(50)]
        for each in asked:
            self.assertIsInstance(model.submit(each, 0.0), Accepted)
        outputs = run_to_idle(model)
        for each in asked:
            length = answer_length(each.prompt, each.seed, each.max_tokens)
            text = texts(outputs)[each.attempt]
            self.assertIsNone(wholeness_fault(text, each.prompt, each.seed, length))
            done = finished(outputs)[each.attempt]
            self.assertEqual((WorkOutcome.FINISHED, length), (done.outcome, done.token_count))

    def test_far_fewer_events_than_tokens(self) -> None:
        model = engine()
        for index in range(32):
            model.submit(request(f"a{index}"), 0.0)
        wakeups = tokens = 0
        while (wakeup := model.next_wakeup()) is not None:
            tokens += sum(done.token_count for done in finished(model.advance(wakeup)).values())
            wakeups += 1
        self.assertLess(wakeups * 20, tokens)

    def test_each_sequence_is_slower_in_a_larger_batch(self) -> None:
        alone, shared = engine(), engine()
        alone.submit(request("a0"), 0.0)
        for index in range(32):
            shared.submit(request(f"a{index}"), 0.0)
        self.assertLess(finish_time(alone, "a0"), finish_time(shared, "a0"))

    def test_interactive_work_passes_waiting_rollouts(self) -> None:
        model = engine(batch_limit=1)
        for attempt, priority in (("running", 10), ("rollout", 10), ("interactive", 0)):
            model.submit(request(attempt, priority=priority), 0.0)
        ended = list(finished(run_to_idle(model)))
        self.assertEqual(["running", "interactive", "rollout"], ended)

    def test_full_queue_unknown_model_and_known_attempt_are_not_run(self) -> None:
        model = engine(batch_limit=1, queue_limit=1)
        model.submit(request("running"), 0.0)
        model.submit(request("waiting"), 0.0)
        self.assertIsInstance(model.submit(request("late"), 0.0), Refused)
        self.assertIsInstance(model.submit(request("foreign", model=ModelName("x")), 0.0), Refused)
        self.assertIsInstance(model.submit(request("running"), 0.0), Duplicate)
        self.assertEqual({"running", "waiting"}, set(finished(run_to_idle(model))))

    def test_scarce_memory_preempts_the_least_urgent_and_loses_no_token(self) -> None:
        model = engine(kv_capacity_tokens=500)
        asked = [request(f"a{index}", priority=10 - index) for index in range(6)]
        for each in asked:
            model.submit(each, 0.0)
        outputs = run_to_idle(model)
        preempted = [each.attempt for each in outputs if isinstance(each, AttemptPreempted)]
        self.assertIn("a0", preempted)
        for each in asked:
            length = answer_length(each.prompt, each.seed, each.max_tokens)
            text = texts(outputs)[each.attempt]
            self.assertIsNone(wholeness_fault(text, each.prompt, each.seed, length))

    def test_cancel_and_crash_end_work(self) -> None:
        model = engine()
        for attempt in ("cancelled", "crashed"):
            model.submit(request(attempt), 0.0)
        self.assertTrue(model.cancel(AttemptId("cancelled"), 1.0))
        self.assertFalse(model.cancel(AttemptId("unknown"), 1.0))
        outputs = model.advance(1.0)
        self.assertEqual(WorkOutcome.CANCELLED, finished(outputs)["cancelled"].outcome)
        self.assertEqual(("crashed",), model.crash(1.0))
        self.assertEqual([], model.advance(9.0))
        self.assertIsNone(model.next_wakeup())
        self.assertIsInstance(model.submit(request("after"), 9.0), Refused)


class CacheTest(testtools.TestCase):
    def test_cached_prefix_shortens_prefill_until_it_is_evicted(self) -> None:
        model = engine(prefill_tokens_per_second=200.0, cache_event_loss_fraction=0.0)
        durations = []
        for attempt in ("cold", "warm"):
            began = model.true_report().generated_at
            model.submit(request(attempt, LONG_PROMPT), began)
            durations.append(finish_time(model, attempt) - began)
        self.assertLess(durations[1], durations[0] - 2.0)
        now = model.true_report().generated_at
        early, _ = model.cache_events(0, 0.0)
        events, following = model.cache_events(0, now + 10.0)
        self.assertEqual((), early)
        self.assertEqual({CacheEventKind.STORED}, {event.kind for event in events})
        self.assertEqual(((), following), model.cache_events(following, now + 10.0))

    def test_little_memory_evicts(self) -> None:
        model = engine(kv_capacity_tokens=700, cache_event_loss_fraction=0.0)
        for index in range(4):
            model.submit(request(f"a{index}", f"{index} {LONG_PROMPT}"), 0.0)
        run_to_idle(model)
        events, _ = model.cache_events(0, 1e6)
        self.assertIn(CacheEventKind.EVICTED, {event.kind for event in events})

    def test_resumed_attempt_goes_on_after_the_tokens_held(self) -> None:
        model = engine()
        asked = request("first")
        length = answer_length(asked.prompt, asked.seed, asked.max_tokens)
        model.submit(asked, 0.0)
        received = [each for each in model.advance(1.0) if isinstance(each, ChunkProduced)]
        held = texts(received)["first"]
        offset = sum(output.chunk.token_count for output in received)
        self.assertGreater(offset, 0)
        other = engine()
        other.submit(request("again", asked.prompt, resume_offset=offset), 0.0)
        outputs = run_to_idle(other)
        text = held + texts(outputs)["again"]
        self.assertIsNone(wholeness_fault(text, asked.prompt, asked.seed, length))
        self.assertEqual(length, finished(outputs)["again"].token_count)


class OrdersTest(testtools.TestCase):
    def test_swap_names_the_new_version_from_its_end_on(self) -> None:
        model = engine()
        asked = request("a", max_tokens=100)
        model.submit(asked, 0.0)
        stage(model, 2, 0.5)
        self.assertEqual(
            EngineOrderOutcome.ACCEPTED, model.order(order(OrderKind.ACTIVATE, 2), 0.5).outcome
        )
        self.assertEqual(EngineState.LOADING, model.state)
        self.assertIsInstance(model.submit(request("b"), 0.6), Refused)
        outputs = run_to_idle(model)
        self.assertIn(ActivationEnded(WeightVersion(2), WeightVersion(2)), outputs)
        versions = [each.chunk.version for each in outputs if isinstance(each, ChunkProduced)]
        self.assertEqual(sorted(versions), versions)
        self.assertEqual({1, 2}, set(versions))
        length = answer_length(asked.prompt, asked.seed, asked.max_tokens)
        text = texts(outputs)["a"]
        self.assertIsNone(wholeness_fault(text, asked.prompt, asked.seed, length))

    def test_failed_swap_lands_on_another_held_version(self) -> None:
        model = engine()
        stage(model, 2, 0.0)
        model.fail_next_activation()
        model.order(order(OrderKind.ACTIVATE, 2), 0.0)
        ended = [each for each in run_to_idle(model) if isinstance(each, ActivationEnded)]
        self.assertEqual([ActivationEnded(WeightVersion(2), WeightVersion(1))], ended)
        model.order(order(OrderKind.ACTIVATE, 2, epoch=2), 5.0)
        run_to_idle(model)
        self.assertEqual(2, model.weights.active_version)

    def test_older_epoch_is_refused_whatever_was_seen_before(self) -> None:
        model = engine()
        self.assertEqual(
            EngineOrderOutcome.REFUSED,
            model.order(order(OrderKind.ACTIVATE, 9, epoch=5), 0.0).outcome,
        )
        answer = model.order(order(OrderKind.DRAIN, epoch=4), 0.0)
        self.assertEqual((EngineOrderOutcome.STALE_EPOCH, 5), (answer.outcome, answer.epoch))
        self.assertEqual(EngineState.SERVING, model.state)

    def test_same_order_is_obeyed_once(self) -> None:
        model = engine()
        for _ in range(2):
            answer = model.order(order(OrderKind.STAGE, 2), 0.0)
            self.assertEqual(EngineOrderOutcome.ACCEPTED, answer.outcome)
        outputs = model.advance(0.0)
        self.assertEqual(1, sum(isinstance(each, StagingStarted) for each in outputs))

    def test_draining_and_leaving_finish_what_runs(self) -> None:
        model = engine()
        model.submit(request("running"), 0.0)
        model.order(order(OrderKind.DRAIN), 0.1)
        self.assertIsInstance(model.submit(request("late"), 0.2), Refused)
        model.order(order(OrderKind.SERVE, epoch=2), 0.3)
        self.assertIsInstance(model.submit(request("more"), 0.4), Accepted)
        model.leave(0.5)
        self.assertEqual(
            EngineOrderOutcome.REFUSED, model.order(order(OrderKind.SERVE, epoch=3), 0.6).outcome
        )
        self.assertEqual({"running", "more"}, set(finished(run_to_idle(model))))
        self.assertTrue(model.idle)

    def test_report_lags_at_most_its_limit(self) -> None:
        model = engine(report_lag_seconds=1.0)
        model.order(order(OrderKind.DRAIN), 0.2)
        self.assertEqual(EngineState.SERVING, model.report(0.9).state)
        self.assertEqual(EngineState.DRAINING, model.report(1.2).state)

    def test_few_versions_are_held_and_the_target_is_kept(self) -> None:
        model = engine(staged_limit=2)
        for version in (2, 3, 4):
            stage(model, version, 0.0)
        self.assertEqual((3, 4), model.weights.staged_versions)
        model.order(order(OrderKind.ACTIVATE, 3), 0.0)
        stage(model, 5, 0.1)
        run_to_idle(model)
        self.assertEqual(3, model.weights.active_version)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "cancel", "stage", "activate", "fail", "wait"]),
        st.integers(0, 7),
        st.floats(0.0, 2.0, allow_nan=False),
    ),
    max_size=60,
)


class RandomDriver:
    """Applies generated actions to an engine and records the accepted attempts."""

    def __init__(self, model: SimulatedEngine) -> None:
        self.model = model
        self.accepted: dict[AttemptId, EngineRequest] = {}
        self.outputs: list[EngineOutput] = []

    def act(self, serial: int, action: str, number: int, now: float) -> None:
        attempt = next(iter(list(self.accepted)[number:]), AttemptId("unknown"))
        match action:
            case "submit":
                asked = request(f"a{serial}", priority=number % 2 * 10, resume_offset=number)
                if isinstance(self.model.submit(asked, now), Accepted):
                    self.accepted[asked.attempt] = asked
            case "cancel":
                self.model.cancel(attempt, now)
            case "stage":
                self.model.order(order(OrderKind.STAGE, number, serial), now)
                self.model.stage_ended(WeightVersion(number), number != 3, now)
            case "activate":
                self.model.order(order(OrderKind.ACTIVATE, number, serial), now)
            case "fail":
                self.model.fail_next_activation()
        self.outputs.extend(self.model.advance(now))


class RandomisedTest(testtools.TestCase):
    @given(actions=ACTIONS, started_at=st.sampled_from([0.0, 1e6 + 0.1]), seed=st.integers(0, 9))
    def test_every_accepted_attempt_ends_once_and_finished_ones_are_whole(
        self, actions: list[tuple[str, int, float]], started_at: float, seed: int
    ) -> None:
        model = engine(started_at, seed, batch_limit=3, queue_limit=4, kv_capacity_tokens=600)
        driver = RandomDriver(model)
        now = started_at
        for serial, (action, number, wait) in enumerate(actions):
            now += wait
            driver.act(serial, action, number, now)
        outputs = driver.outputs + run_to_idle(model)
        ended = [each.attempt for each in outputs if isinstance(each, AttemptDone)]
        self.assertEqual(sorted(driver.accepted), sorted(ended))
        for asked in driver.accepted.values():
            self._check_attempt(outputs, asked)

    def _check_attempt(self, outputs: list[EngineOutput], asked: EngineRequest) -> None:
        length = answer_length(asked.prompt, asked.seed, asked.max_tokens)
        offset = min(asked.resume_offset, length)
        chunks = [
            each.chunk
            for each in outputs
            if isinstance(each, ChunkProduced) and each.attempt == asked.attempt
        ]
        for sequence, chunk in enumerate(chunks):
            self.assertEqual((sequence, offset), (chunk.sequence, chunk.offset))
            offset += chunk.token_count
        done = finished(outputs)[asked.attempt]
        self.assertEqual(offset, done.token_count)
        if done.outcome is WorkOutcome.FINISHED:
            self.assertEqual(length, done.token_count)
