"""Tests of staleness, claims, scheduling, duplicates and trainers that move between nodes."""

from __future__ import annotations

import testtools

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.common.identities import CallId, RequestId, WeightVersion
from stagewalk.node.core.completions import CompletionRequest, CompletionResult
from stagewalk.node.core.instructions import AcceptLot, ReadVersions
from stagewalk.node.core.rollouts import sample_seed
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.lengths import prompt_family
from tests.node.samples.world import MODEL, LotCoreHarness, answer, make_core, make_lot, make_pull

NO_ROOM = StagewalkError(ErrorKind.OVERLOADED, ErrorStep.ADMISSION, "node", "the queue is full")
NO_ENGINE = StagewalkError(ErrorKind.NO_ENGINE, ErrorStep.ROUTING, "node", "none is eligible")
FAILED = StagewalkError(ErrorKind.ENGINE_FAILED, ErrorStep.EXECUTION, "engine", "crashed")


def no_answer(_: CompletionRequest) -> CompletionResult | None:
    return None


def fail_all(harness: LotCoreHarness, error: StagewalkError, now: float) -> None:
    for request_id in list(harness.running):
        del harness.running[request_id]
        harness.handle_output(harness.core.request_failed(RequestId(request_id), error, now), now)


class StalenessTest(testtools.TestCase):
    def test_sample_stale_at_delivery_is_run_again_and_logged(self) -> None:
        harness = LotCoreHarness(make_core(staleness_bound_versions=1))
        harness.submit(make_lot(version=3))
        harness.engine = lambda _: answer(version=5)
        batch = harness.batches[harness.pull(make_pull(version=5), 1.0)].batch
        self.assertEqual((), batch.samples)
        self.assertEqual(6, harness.event_names().count("slot_run_again"))
        batch = harness.batches[harness.pull(make_pull(version=5), 2.0)].batch
        self.assertEqual({5}, {sample.oldest_version for sample in batch.samples})
        self.assertEqual(6, harness.event_names().count("slot_run_again"))

    def test_claim_of_a_stale_generation_is_kept(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.submit(make_lot(version=3))
        harness.engine = lambda _: answer(version=5)
        harness.pull(make_pull(version=5), 1.0)
        generations = sorted({key.split("/")[-2] for key in harness.register})
        self.assertEqual(["0", "1"], generations)

    def test_rollouts_require_weights_that_will_be_fresh_when_pulled(self) -> None:
        harness = LotCoreHarness(make_core(staleness_bound_versions=1, idle_weight=0.8))
        harness.engine = no_answer
        harness.submit(make_lot(step=1, version=3))
        self.assertEqual({2}, {request.minimum_version for request in harness.started})
        harness.started.clear()
        for request_id in list(harness.running):
            harness.finish(request_id, answer(3), 1.0)
        harness.pull(make_pull(step=1, version=3), 1.0)
        harness.submit(make_lot(step=2, version=3), 1.0)
        self.assertEqual({3}, {request.minimum_version for request in harness.started})

    def test_step_ahead_waits_for_weights_with_a_bound_of_zero(self) -> None:
        harness = LotCoreHarness(make_core(staleness_bound_versions=0))
        harness.submit(make_lot(step=1, version=3))
        harness.pull(make_pull(step=1, version=3))
        harness.started.clear()
        harness.submit(make_lot(step=2, version=3))
        self.assertEqual([], harness.started)
        harness.handle_output(harness.core.record_served_version(MODEL, WeightVersion(4), 5.0), 5.0)
        self.assertEqual(6, len(harness.started))

    def test_pull_does_not_bound_the_age_of_a_sample(self) -> None:
        harness = LotCoreHarness(
            make_core(staleness_bound_versions=9, staleness_bound_seconds=60.0)
        )
        harness.handle_output(
            harness.core.record_published_version(MODEL, WeightVersion(3), 0.0), 0.0
        )
        harness.submit(make_lot(version=3))
        call = harness.pull(make_pull(version=3, wait_until=101.0), 100.0)
        self.assertNotIn(call, harness.batches)
        harness.handle_output(
            harness.core.record_published_version(MODEL, WeightVersion(3), 100.5), 100.5
        )
        harness.tick(100.6)
        self.assertEqual(6, len(harness.batches[call].batch.samples))

    def test_store_is_read_for_a_bound_in_seconds(self) -> None:
        core = make_core(staleness_bound_seconds=60.0)
        output = core.submit(CallId("c"), make_lot(), 0.0)
        self.assertIn(ReadVersions(MODEL), output)
        self.assertEqual([], core.tick(1.0))
        self.assertIn(ReadVersions(MODEL), core.tick(2.5))
        unbounded = make_core().submit(CallId("c"), make_lot(), 0.0)
        self.assertNotIn(ReadVersions(MODEL), unbounded)

    def test_mixed_versions_are_run_again_where_the_tenant_forbids_them(self) -> None:
        harness = LotCoreHarness(make_core(allow_mixed_versions=False))
        harness.engine = no_answer
        harness.submit(make_lot(prompts=1, samples=1))
        first = next(iter(harness.running))
        spans = (*answer(3).spans, *answer(4).spans)
        harness.finish(first, CompletionResult("text", 20, spans, "stop"), 1.0)
        self.assertEqual(1, len(harness.running))
        self.assertNotIn(first, harness.running)


class ClaimTest(testtools.TestCase):
    def test_first_claimed_sample_is_delivered_by_both_nodes(self) -> None:
        register: dict[str, bytes] = {}
        one, other = (
            LotCoreHarness(make_core("one"), register),
            LotCoreHarness(make_core("other"), register),
        )
        one.submit(make_lot())
        other.submit(make_lot())
        first = one.batches[one.pull(make_pull())].batch.samples
        second = other.batches[other.pull(make_pull())].batch.samples
        self.assertEqual([s.sample_id for s in first], [s.sample_id for s in second])

    def test_step_with_other_prompts_has_its_own_claims(self) -> None:
        register: dict[str, bytes] = {}
        one, other = (
            LotCoreHarness(make_core("one"), register),
            LotCoreHarness(make_core("other"), register),
        )
        one.submit(make_lot(prompts=2))
        other.submit(make_lot(prompts=3))
        self.assertEqual(4 + 6, len(register))

    def test_sample_is_delivered_without_its_claim_after_a_timeout(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.claims_available = False
        harness.submit(make_lot())
        call = harness.pull(make_pull(wait_until=60.0), 0.5)
        self.assertNotIn(call, harness.batches)
        harness.tick(LotConfig().claim_wait_seconds)
        self.assertEqual(6, len(harness.batches[call].batch.samples))

    def test_sample_too_large_to_claim_is_delivered_immediately(self) -> None:
        harness = LotCoreHarness(
            make_core(config=LotConfig(maximum_claim_bytes=10, probe_seconds=0.0))
        )
        harness.claims_available = False
        harness.submit(make_lot())
        self.assertEqual(6, len(harness.batches[harness.pull(make_pull())].batch.samples))

    def test_node_recovers_claimed_samples_when_a_trainer_moves_to_it(self) -> None:
        register: dict[str, bytes] = {}
        old, new = (
            LotCoreHarness(make_core("old"), register),
            LotCoreHarness(make_core("new", LotConfig()), register),
        )
        old.submit(make_lot())
        batch = old.batches[old.pull(make_pull(maximum=2))].batch
        new.engine = no_answer
        new.submit(make_lot())
        call = new.pull(make_pull(batch.cursor, wait_until=60.0))
        new.tick(0.1)
        self.assertEqual(4, len(new.batches[call].batch.samples))
        self.assertEqual({}, new.running)

    def test_lot_run_by_another_node_is_followed_until_its_claims_stop(self) -> None:
        register: dict[str, bytes] = {}
        old, new = (
            LotCoreHarness(make_core("old"), register),
            LotCoreHarness(make_core("new", LotConfig()), register),
        )
        old.engine = new.engine = no_answer
        old.submit(make_lot())
        old.finish(next(iter(old.running)), answer(), 0.0)
        new.submit(make_lot())
        call = new.pull(make_pull(wait_until=60.0))
        for tenth in range(20):
            new.tick(tenth / 10.0)
        self.assertEqual([], new.started)
        self.assertEqual(1, len(new.batches[call].batch.samples))
        old.finish(next(iter(old.running)), answer(), 2.0)
        for tenth in range(20, 45):
            new.tick(tenth / 10.0)
        self.assertEqual([], new.started)
        for tenth in range(45, 100):
            new.tick(tenth / 10.0)
        self.assertEqual(4, len(new.started))

    def test_new_lot_starts_once_the_probes_are_done(self) -> None:
        harness = LotCoreHarness(make_core("node", LotConfig()))
        harness.engine = no_answer
        harness.submit(make_lot())
        self.assertEqual([], harness.started)
        harness.tick(0.1)
        harness.tick(0.2)
        self.assertEqual(6, len(harness.started))


class SchedulingTest(testtools.TestCase):
    def test_longest_predicted_rollouts_start_first(self) -> None:
        harness = LotCoreHarness(
            make_core(config=LotConfig(maximum_outstanding_per_lot=4, probe_seconds=0.0))
        )
        harness.engine = lambda request: answer(tokens=5 if request.prompt.endswith("1") else 90)
        harness.submit(make_lot(step=1))
        harness.pull(make_pull(step=1))
        harness.started.clear()
        harness.engine = no_answer
        harness.submit(make_lot(step=2))
        self.assertEqual(4, len(harness.started))
        self.assertNotIn("prompt 1", [request.prompt for request in harness.started])

    def test_rollouts_have_the_seed_of_their_slot_and_unique_request_ids(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.submit(make_lot())
        batch = harness.batches[harness.pull(make_pull())].batch
        seeds = {sample_seed(sample.slot) for sample in batch.samples}
        self.assertEqual(seeds, {request.seed for request in harness.started})
        self.assertEqual(6, len({request.request_id for request in harness.started}))

    def test_straggler_is_duplicated_and_the_slower_rollout_cancelled(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.engine = no_answer
        harness.submit(make_lot())
        straggler, *others = list(harness.running)
        for request_id in others:
            harness.finish(request_id, answer(), 1.0)
        harness.tick(1.5)
        self.assertEqual([straggler], list(harness.running))
        harness.tick(3.0)
        self.assertEqual(2, len(harness.running))
        duplicate = next(each for each in harness.running if each != straggler)
        harness.finish(duplicate, answer(), 4.0)
        self.assertIn(straggler, harness.cancelled)

    def test_failed_rollout_is_retried_and_logged_as_stuck(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.engine = no_answer
        harness.submit(make_lot(prompts=1, samples=1))
        now = 0.0
        for _ in range(LotConfig().stuck_after_failures):
            request_id = RequestId(next(iter(harness.running)))
            harness.running.clear()
            harness.handle_output(harness.core.request_failed(request_id, FAILED, now), now)
            self.assertEqual({}, harness.running)
            now += LotConfig().retry_limit_seconds
            harness.tick(now)
        stuck = [event.fields["failures"] for event in harness.events if event.name == "slot_stuck"]
        self.assertEqual([LotConfig().stuck_after_failures], stuck)

    def test_repeated_refusals_shrink_the_window(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.engine = no_answer
        harness.submit(make_lot(prompts=100, samples=2))
        self.assertEqual(200, len(harness.running))
        now = 1.0
        fail_all(harness, NO_ROOM, now)
        harness.tick(now + 2.0)
        self.assertEqual(200, len(harness.running), "a burst of refusals counts once: 256 to 204")
        for _ in range(20):
            now += 20.0
            fail_all(harness, NO_ROOM, now)
            harness.pull(make_pull(wait_until=now + 20.0), now)
            harness.tick(now + 11.0)
        self.assertEqual(4, len(harness.running))

    def test_missing_engines_do_not_shrink_the_window(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.engine = no_answer
        harness.submit(make_lot(prompts=100, samples=2))
        for now in (1.0, 5.0, 9.0):
            fail_all(harness, NO_ENGINE, now)
            harness.tick(now + LotConfig().no_room_retry_seconds)
            self.assertEqual(200, len(harness.running))

    def test_window_is_scaled_by_the_engines_with_new_weights(self) -> None:
        harness = LotCoreHarness(make_core(staleness_bound_versions=1, idle_weight=0.8))
        harness.engine = no_answer
        for version in (3, 3, 3, 4):
            harness.handle_output(
                harness.core.record_served_version(MODEL, WeightVersion(version), 0.0), 0.0
            )
        harness.submit(make_lot(version=5, prompts=128, samples=2))
        self.assertEqual(64, len(harness.running))
        for _ in range(4):
            harness.handle_output(
                harness.core.record_served_version(MODEL, WeightVersion(4), 2.0), 2.0
            )
        self.assertEqual(256, len(harness.running))

    def test_lot_of_an_inactive_trainer_is_paused_then_dropped(self) -> None:
        config = LotConfig()
        harness = LotCoreHarness(make_core())
        harness.engine = no_answer
        harness.submit(make_lot())
        harness.tick(config.idle_pause_seconds + 1.0)
        self.assertEqual({}, harness.running)
        harness.pull(make_pull(wait_until=200.0), 130.0)
        self.assertEqual(6, len(harness.running))
        harness.tick(131.0 + config.idle_retention_seconds)
        self.assertEqual({}, harness.core._store.lots)

    def test_resubmission_is_idempotent_and_other_contents_are_rejected(self) -> None:
        harness = LotCoreHarness(make_core())
        harness.engine = no_answer
        harness.submit(make_lot())
        again = harness.core.submit(CallId("again"), make_lot(version=4), 1.0)
        self.assertEqual([AcceptLot(CallId("again"), make_lot(version=4))], again)
        call = harness.submit(make_lot(prompts=2))
        self.assertEqual("step", harness.failures[call].error.field)

    def test_prompt_family_is_the_id_without_its_number(self) -> None:
        self.assertEqual("notes", prompt_family("notes-17"))
