"""From rollout to sample: staleness, scores, claims, order, duplicates, moves between nodes."""

from __future__ import annotations

import testtools

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.common.identities import CallId, RequestId, WeightVersion
from stagewalk.node.core.completions import CompletionRequest, CompletionResult
from stagewalk.node.core.instructions import AcceptLot, ReadVersions
from stagewalk.node.core.rollouts import sample_seed
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.lengths import prompt_family
from tests.node.samples.world import MODEL, World, answer, make_core, make_lot, make_pull

NO_ROOM = StagewalkError(ErrorKind.OVERLOADED, ErrorStep.ADMISSION, "node", "the queue is full")
NO_ENGINE = StagewalkError(ErrorKind.NO_ENGINE, ErrorStep.ROUTING, "node", "none is eligible")
FAILED = StagewalkError(ErrorKind.ENGINE_FAILED, ErrorStep.EXECUTION, "engine", "crashed")


def never(_: CompletionRequest) -> CompletionResult | None:
    return None


def fail_all(world: World, error: StagewalkError, now: float) -> None:
    for request_id in list(world.running):
        del world.running[request_id]
        world.take(world.core.request_failed(RequestId(request_id), error, now), now)


class StalenessTest(testtools.TestCase):
    def test_sample_grown_stale_before_hand_over_is_run_again_and_counted(self) -> None:
        world = World(make_core(staleness_bound_versions=1))
        world.submit(make_lot(version=3))
        world.engine = lambda _: answer(version=5)
        batch = world.batches[world.pull(make_pull(version=5), 1.0)].batch
        self.assertEqual((), batch.samples)
        self.assertEqual(6, world.event_names().count("slot_run_again"))
        batch = world.batches[world.pull(make_pull(version=5), 2.0)].batch
        self.assertEqual({5}, {sample.oldest_version for sample in batch.samples})
        self.assertEqual(6, world.event_names().count("slot_run_again"))

    def test_dead_generation_is_left_to_the_register(self) -> None:
        world = World(make_core())
        world.submit(make_lot(version=3))
        world.engine = lambda _: answer(version=5)
        world.pull(make_pull(version=5), 1.0)
        generations = sorted({key.split("/")[-2] for key in world.register})
        self.assertEqual(["0", "1"], generations)

    def test_rollouts_ask_for_weights_that_will_be_fresh_when_pulled(self) -> None:
        world = World(make_core(staleness_bound_versions=1, idle_weight=0.8))
        world.engine = never
        world.submit(make_lot(step=1, version=3))
        self.assertEqual({2}, {request.minimum_version for request in world.started})
        world.started.clear()
        for request_id in list(world.running):
            world.finish(request_id, answer(3), 1.0)
        world.pull(make_pull(step=1, version=3), 1.0)
        world.submit(make_lot(step=2, version=3), 1.0)
        self.assertEqual({3}, {request.minimum_version for request in world.started})

    def test_step_ahead_waits_for_weights_within_a_bound_of_none(self) -> None:
        world = World(make_core(staleness_bound_versions=0))
        world.submit(make_lot(step=1, version=3))
        world.pull(make_pull(step=1, version=3))
        world.started.clear()
        world.submit(make_lot(step=2, version=3))
        self.assertEqual([], world.started)
        world.take(world.core.record_served_version(MODEL, WeightVersion(4), 5.0), 5.0)
        self.assertEqual(6, len(world.started))

    def test_pull_is_no_evidence_of_a_sample_s_age(self) -> None:
        world = World(make_core(staleness_bound_versions=9, staleness_bound_seconds=60.0))
        world.take(world.core.record_published_version(MODEL, WeightVersion(3), 0.0), 0.0)
        world.submit(make_lot(version=3))
        call = world.pull(make_pull(version=3, wait_until=101.0), 100.0)
        self.assertNotIn(call, world.batches)
        world.take(world.core.record_published_version(MODEL, WeightVersion(3), 100.5), 100.5)
        world.tick(100.6)
        self.assertEqual(6, len(world.batches[call].batch.samples))

    def test_store_is_read_while_a_bound_in_seconds_needs_it(self) -> None:
        core = make_core(staleness_bound_seconds=60.0)
        output = core.submit(CallId("c"), make_lot(), 0.0)
        self.assertIn(ReadVersions(MODEL), output)
        self.assertEqual([], core.tick(1.0))
        self.assertIn(ReadVersions(MODEL), core.tick(2.5))
        unbounded = make_core().submit(CallId("c"), make_lot(), 0.0)
        self.assertNotIn(ReadVersions(MODEL), unbounded)

    def test_mixed_versions_are_run_again_where_the_tenant_forbids_them(self) -> None:
        world = World(make_core(allow_mixed_versions=False))
        world.engine = never
        world.submit(make_lot(prompts=1, samples=1))
        first = next(iter(world.running))
        spans = (*answer(3).spans, *answer(4).spans)
        world.finish(first, CompletionResult("text", 20, spans, "stop"), 1.0)
        self.assertEqual(1, len(world.running))
        self.assertNotIn(first, world.running)


class ClaimTest(testtools.TestCase):
    def test_sample_claimed_first_is_the_sample_of_both_nodes(self) -> None:
        register: dict[str, bytes] = {}
        one, other = World(make_core("one"), register), World(make_core("other"), register)
        one.submit(make_lot())
        other.submit(make_lot())
        first = one.batches[one.pull(make_pull())].batch.samples
        second = other.batches[other.pull(make_pull())].batch.samples
        self.assertEqual([s.sample_id for s in first], [s.sample_id for s in second])

    def test_step_with_other_prompts_has_claims_of_its_own(self) -> None:
        register: dict[str, bytes] = {}
        one, other = World(make_core("one"), register), World(make_core("other"), register)
        one.submit(make_lot(prompts=2))
        other.submit(make_lot(prompts=3))
        self.assertEqual(4 + 6, len(register))

    def test_sample_is_handed_over_without_its_claim_after_a_short_wait(self) -> None:
        world = World(make_core())
        world.claims_open = False
        world.submit(make_lot())
        call = world.pull(make_pull(wait_until=60.0), 0.5)
        self.assertNotIn(call, world.batches)
        world.tick(LotConfig().claim_wait_seconds)
        self.assertEqual(6, len(world.batches[call].batch.samples))

    def test_sample_too_large_for_the_register_is_handed_over_at_once(self) -> None:
        world = World(make_core(config=LotConfig(maximum_claim_bytes=10, probe_seconds=0.0)))
        world.claims_open = False
        world.submit(make_lot())
        self.assertEqual(6, len(world.batches[world.pull(make_pull())].batch.samples))

    def test_node_a_trainer_moves_to_recovers_what_was_claimed(self) -> None:
        register: dict[str, bytes] = {}
        old, new = World(make_core("old"), register), World(make_core("new", LotConfig()), register)
        old.submit(make_lot())
        batch = old.batches[old.pull(make_pull(maximum=2))].batch
        new.engine = never
        new.submit(make_lot())
        call = new.pull(make_pull(batch.cursor, wait_until=60.0))
        new.tick(0.1)
        self.assertEqual(4, len(new.batches[call].batch.samples))
        self.assertEqual({}, new.running)

    def test_lot_that_another_node_runs_is_followed_until_it_falls_silent(self) -> None:
        register: dict[str, bytes] = {}
        old, new = World(make_core("old"), register), World(make_core("new", LotConfig()), register)
        old.engine = new.engine = never
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

    def test_lot_new_everywhere_is_held_back_no_longer_than_the_probes_take(self) -> None:
        world = World(make_core("node", LotConfig()))
        world.engine = never
        world.submit(make_lot())
        self.assertEqual([], world.started)
        world.tick(0.1)
        world.tick(0.2)
        self.assertEqual(6, len(world.started))


class SchedulingTest(testtools.TestCase):
    def test_longest_predicted_rollouts_start_first(self) -> None:
        world = World(make_core(config=LotConfig(maximum_outstanding_per_lot=4, probe_seconds=0.0)))
        world.engine = lambda request: answer(tokens=5 if request.prompt.endswith("1") else 90)
        world.submit(make_lot(step=1))
        world.pull(make_pull(step=1))
        world.started.clear()
        world.engine = never
        world.submit(make_lot(step=2))
        self.assertEqual(4, len(world.started))
        self.assertNotIn("prompt 1", [request.prompt for request in world.started])

    def test_rollouts_carry_the_slot_s_seed_and_a_request_id_of_their_own(self) -> None:
        world = World(make_core())
        world.submit(make_lot())
        batch = world.batches[world.pull(make_pull())].batch
        seeds = {sample_seed(sample.slot) for sample in batch.samples}
        self.assertEqual(seeds, {request.seed for request in world.started})
        self.assertEqual(6, len({request.request_id for request in world.started}))

    def test_straggler_is_run_twice_and_the_slower_cancelled(self) -> None:
        world = World(make_core())
        world.engine = never
        world.submit(make_lot())
        straggler, *others = list(world.running)
        for request_id in others:
            world.finish(request_id, answer(), 1.0)
        world.tick(1.5)
        self.assertEqual([straggler], list(world.running))
        world.tick(3.0)
        self.assertEqual(2, len(world.running))
        duplicate = next(each for each in world.running if each != straggler)
        world.finish(duplicate, answer(), 4.0)
        self.assertIn(straggler, world.cancelled)

    def test_failed_rollout_is_tried_again_later_and_said_to_be_stuck(self) -> None:
        world = World(make_core())
        world.engine = never
        world.submit(make_lot(prompts=1, samples=1))
        now = 0.0
        for _ in range(LotConfig().stuck_after_failures):
            request_id = RequestId(next(iter(world.running)))
            world.running.clear()
            world.take(world.core.request_failed(request_id, FAILED, now), now)
            self.assertEqual({}, world.running)
            now += LotConfig().retry_limit_seconds
            world.tick(now)
        stuck = [event.fields["failures"] for event in world.events if event.name == "slot_stuck"]
        self.assertEqual([LotConfig().stuck_after_failures], stuck)

    def test_refusals_in_a_row_shrink_how_many_run_at_once(self) -> None:
        world = World(make_core())
        world.engine = never
        world.submit(make_lot(prompts=100, samples=2))
        self.assertEqual(200, len(world.running))
        now = 1.0
        fail_all(world, NO_ROOM, now)
        world.tick(now + 2.0)
        self.assertEqual(200, len(world.running), "a burst of refusals counts once: 256 to 204")
        for _ in range(20):
            now += 20.0
            fail_all(world, NO_ROOM, now)
            world.pull(make_pull(wait_until=now + 20.0), now)
            world.tick(now + 11.0)
        self.assertEqual(4, len(world.running))

    def test_want_of_engines_with_the_weights_is_no_want_of_room(self) -> None:
        world = World(make_core())
        world.engine = never
        world.submit(make_lot(prompts=100, samples=2))
        for now in (1.0, 5.0, 9.0):
            fail_all(world, NO_ENGINE, now)
            world.tick(now + LotConfig().no_room_retry_seconds)
            self.assertEqual(200, len(world.running))

    def test_while_engines_swap_only_those_that_have_are_given_work(self) -> None:
        world = World(make_core(staleness_bound_versions=1, idle_weight=0.8))
        world.engine = never
        for version in (3, 3, 3, 4):
            world.take(world.core.record_served_version(MODEL, WeightVersion(version), 0.0), 0.0)
        world.submit(make_lot(version=5, prompts=128, samples=2))
        self.assertEqual(64, len(world.running))
        for _ in range(4):
            world.take(world.core.record_served_version(MODEL, WeightVersion(4), 2.0), 2.0)
        self.assertEqual(256, len(world.running))

    def test_lot_of_a_silent_trainer_is_paused_then_forgotten(self) -> None:
        config = LotConfig()
        world = World(make_core())
        world.engine = never
        world.submit(make_lot())
        world.tick(config.idle_pause_seconds + 1.0)
        self.assertEqual({}, world.running)
        world.pull(make_pull(wait_until=200.0), 130.0)
        self.assertEqual(6, len(world.running))
        world.tick(131.0 + config.idle_retention_seconds)
        self.assertEqual({}, world.core._store.lots)

    def test_same_step_again_changes_nothing_and_other_contents_are_refused(self) -> None:
        world = World(make_core())
        world.engine = never
        world.submit(make_lot())
        again = world.core.submit(CallId("again"), make_lot(version=4), 1.0)
        self.assertEqual([AcceptLot(CallId("again"), make_lot(version=4))], again)
        call = world.submit(make_lot(prompts=2))
        self.assertEqual("step", world.failures[call].error.field)

    def test_prompt_family_is_the_id_without_its_number(self) -> None:
        self.assertEqual("notes", prompt_family("notes-17"))
