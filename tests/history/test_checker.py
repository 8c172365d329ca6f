"""Tests that the checker finds each kind of violation and passes clean histories."""

from __future__ import annotations

import testtools

from stagewalk.history.checker import check_history
from stagewalk.history.checker_stops import CONNECTION_CUT
from stagewalk.history.checker_verdict import Promise
from stagewalk.history.observations import (
    ConfigurationSeen,
    EngineLeaving,
    EngineServing,
    FaultInjected,
    PlannedStopBegan,
    ProcessKilled,
    PublishAnswered,
    StepCompleted,
    StepStarted,
    WorkEnded,
)
from tests.history.histories import (
    History,
    ScriptedOracle,
    answer_text,
    answered,
    cut,
    record,
    refused,
    sample,
    sent,
    spans,
    work,
    work_refused,
)


def seen(at: float, offset: int, node: str = "n1", digest: str = "") -> ConfigurationSeen:
    digest = digest or f"digest{offset}"
    return ConfigurationSeen(
        at=at,
        node=node,
        incarnation=1,
        offset=offset,
        digest=digest,
        revisions={"t": offset} if offset else {},
    )


def fault(at: float, kind: str, until: float, target: str = "n1") -> FaultInjected:
    return FaultInjected(at=at, kind=kind, target=target, until=until)


def ended(at: float, outcome: str) -> WorkEnded:
    return WorkEnded(
        at=at, engine="e1", incarnation=1, attempt="a1", outcome=outcome, token_count=3
    )


def published(at: float, record_id: str) -> PublishAnswered:
    return PublishAnswered(
        at=at, operator="o", record_id=record_id, accepted=True, detail="revision 1"
    )


class CheckerTest(testtools.TestCase):
    def assert_broken(self, promise: Promise, history: History, times: int = 1) -> None:
        verdict = check_history(history, ScriptedOracle())
        found = {name: len(items) for name, items in verdict.violations.items() if items}
        self.assertEqual({promise: times}, found, "\n".join(verdict.explanations(3)))
        explanation = verdict.violations[promise][0].explain()
        self.assertIn(type(history[-1]).__name__, explanation)

    def assert_clean(self, history: History, *checked: Promise) -> None:
        verdict = check_history(history, ScriptedOracle())
        self.assertEqual(0, verdict.violation_count, "\n".join(verdict.explanations(3)))
        for promise in checked:
            self.assertNotIn(promise, verdict.unchecked)

    def test_empty_history_checks_nothing(self) -> None:
        self.assertEqual(tuple(Promise), check_history([], ScriptedOracle()).unchecked)


class RequestPromisesTest(CheckerTest):
    def test_whole_and_named_answer(self) -> None:
        history = [sent(0), work(1), answered(2, answer_text(1, 2), spans(1, 2))]
        self.assert_clean(history, Promise.WHOLE_ANSWER, Promise.VERSION_NAMED)

    def test_truncated_and_foreign_answers(self) -> None:
        half = answer_text(1, 1)[: len(answer_text(1, 1)) // 2]
        truncated = answered(2, half, (spans(1, 1)[0],))
        self.assert_broken(Promise.WHOLE_ANSWER, [sent(0), truncated])
        foreign = answered(2, answer_text(1, prompt="other"), spans(1))
        self.assert_broken(Promise.WHOLE_ANSWER, [sent(0), foreign])

    def test_answer_without_a_request(self) -> None:
        unasked = answered(2, answer_text(1), spans(1), request="other")
        self.assert_broken(Promise.WHOLE_ANSWER, [sent(0), unasked])

    def test_wrong_version_named(self) -> None:
        wrong = answered(2, answer_text(1, 2), spans(2, 2))
        self.assert_broken(Promise.VERSION_NAMED, [sent(0), wrong])

    def test_correct_refusals(self) -> None:
        later_send_ran = [sent(0), refused(1), sent(2), work(3)]
        self.assert_clean(later_send_ran, Promise.NOT_RUN_TRUE)
        honest = [sent(0), work(1), refused(2, ran="unknown")]
        self.assert_clean(honest)

    def test_false_refusals(self) -> None:
        self.assert_broken(Promise.NOT_RUN_TRUE, [sent(0), work(1), refused(2)])
        self.assert_broken(Promise.NOT_RUN_TRUE, [sent(0), refused(1), work(2)])
        other_node = [sent(0), work(1), cut(2), sent(3, node="n2"), refused(4, node="n2")]
        self.assert_broken(Promise.NOT_RUN_TRUE, other_node)

    def test_at_most_once(self) -> None:
        once = [sent(0, repeatable=False), work(1), work(2, resumed=True)]
        self.assert_clean(once, Promise.AT_MOST_ONCE)
        self.assert_clean([sent(0), work(1), work(2, "a2")])
        twice = [sent(0, repeatable=False), work(1), work(2, "a2", engine="e2")]
        self.assert_broken(Promise.AT_MOST_ONCE, twice)
        moved = [sent(0, repeatable=False), work(1), work(2, "a2", resumed=True)]
        self.assert_broken(Promise.AT_MOST_ONCE, moved)


class SamplePromisesTest(CheckerTest):
    def test_staleness_in_versions_and_seconds(self) -> None:
        fresh = [record(0, 0), sample(20, (3, 4)), sample(21, index=1, age_seconds=30.0)]
        self.assert_clean(fresh, Promise.STALENESS_BOUND)
        self.assert_broken(Promise.STALENESS_BOUND, [record(0, 0), sample(20, (2, 4))])
        old = sample(20, age_seconds=33.0)
        self.assert_broken(Promise.STALENESS_BOUND, [record(0, 0), old])

    def test_tightened_bound_applies_after_the_deadline(self) -> None:
        records: History = [record(0, 0, b"2"), record(50, 1, b"1")]
        self.assert_clean([*records, sample(55, (2,))], Promise.STALENESS_BOUND)
        self.assert_broken(Promise.STALENESS_BOUND, [*records, sample(65, (2,))])
        outage = [*records, fault(52, "log_down", 90, "*"), sample(95, (2,))]
        self.assert_clean(outage, Promise.STALENESS_BOUND)

    def test_delivered_twice(self) -> None:
        self.assert_broken(Promise.EXACTLY_ONCE, [sample(1), sample(2)])

    def test_completed_step_with_a_slot_missing(self) -> None:
        begun = StepStarted(at=0, tenant="t", trainer="trainer", step=1, slots=2)
        done = StepCompleted(
            at=9, tenant="t", trainer="trainer", step=1, idle_seconds=1, training_seconds=1
        )
        self.assert_clean([begun, sample(1), sample(2, index=1), done], Promise.EXACTLY_ONCE)
        self.assert_broken(Promise.EXACTLY_ONCE, [begun, sample(1), done])


class StopPromisesTest(CheckerTest):
    def test_work_sent_to_a_leaving_engine(self) -> None:
        leaving = EngineLeaving(at=1, engine="e1", incarnation=1)
        serving = EngineServing(at=5, engine="e1", incarnation=1)
        self.assert_clean([leaving, work(3.9)], Promise.LEAVING_NO_WORK)
        self.assert_clean([leaving, serving, work(6)])
        self.assert_broken(Promise.LEAVING_NO_WORK, [leaving, work(4.1)])
        self.assert_broken(Promise.LEAVING_NO_WORK, [leaving, work_refused(4.1)])

    def test_engine_stop_interrupts_work(self) -> None:
        stop = PlannedStopBegan(at=1, process="e1")
        self.assert_clean([work(0), stop, ended(2, "finished")], Promise.PLANNED_STOP_CLEAN)
        killed = ProcessKilled(at=1.5, process="e1")
        self.assert_clean([work(0), stop, killed, ended(2, "cut")])
        self.assert_broken(Promise.PLANNED_STOP_CLEAN, [work(0), stop, ended(2, "cut")])

    def test_node_stop_interrupts_request(self) -> None:
        begun: History = [sent(0), PlannedStopBegan(at=5, process="n1")]
        self.assert_broken(Promise.PLANNED_STOP_CLEAN, [*begun, cut(6)])
        given_up = refused(6, ran="unknown", kind="stopping")
        self.assert_broken(Promise.PLANNED_STOP_CLEAN, [*begun, given_up])
        broken_by_network = fault(6, CONNECTION_CUT, 6)
        self.assert_clean([*begun, broken_by_network, cut(6)])

    def test_new_incarnation_ends_the_stop(self) -> None:
        before = seen(0, 0)
        restarted = ConfigurationSeen(
            at=7, node="n1", incarnation=2, offset=0, digest="digest0", revisions={}
        )
        stop = PlannedStopBegan(at=5, process="n1")
        self.assert_clean([before, stop, restarted, sent(8), cut(9)])


class ConfigurationPromiseTest(CheckerTest):
    def test_in_force_within_the_deadline(self) -> None:
        history = [seen(0, 0), record(1, 0), seen(10, 0), seen(12, 1), published(13, "rec0")]
        self.assert_clean(history, Promise.CONFIG_IN_FORCE)

    def test_in_force_after_the_deadline(self) -> None:
        late = [seen(0, 0), record(1, 0), seen(12, 0)]
        self.assert_broken(Promise.CONFIG_IN_FORCE, late)
        log_outage = [seen(0, 0), fault(0, "log_down", 5, "*"), *late[1:]]
        self.assert_clean(log_outage)
        wrong_node = [seen(0, 0), fault(0, "log_down", 5, "n2"), *late[1:]]
        self.assert_broken(Promise.CONFIG_IN_FORCE, wrong_node)

    def test_rejected_record_need_not_be_in_force(self) -> None:
        self.assert_clean([seen(0, 0), record(1, 0, b"rejected"), seen(12, 0)])

    def test_reverted(self) -> None:
        records: History = [record(0, 0), record(0, 1)]
        self.assert_broken(Promise.CONFIG_IN_FORCE, [*records, seen(0, 2), seen(1, 1)])

    def test_different_digest_at_the_same_revisions(self) -> None:
        split = [record(0, 0), seen(0, 1), seen(1, 1, node="n2", digest="other")]
        self.assert_broken(Promise.CONFIG_IN_FORCE, split)

    def test_state_that_differs_from_the_log(self) -> None:
        rejected = record(0, 0, b"rejected")
        self.assert_broken(Promise.CONFIG_IN_FORCE, [rejected, seen(1, 1)])
        self.assert_broken(Promise.CONFIG_IN_FORCE, [seen(1, 1)])

    def test_acceptance_reported_for_a_rejected_or_missing_record(self) -> None:
        rejected = record(1, 0, b"rejected")
        self.assert_broken(Promise.CONFIG_IN_FORCE, [rejected, published(2, "rec0")])
        self.assert_broken(Promise.CONFIG_IN_FORCE, [published(2, "lost")])
