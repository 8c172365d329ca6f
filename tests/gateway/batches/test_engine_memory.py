"""Items go to engines with memory for the text that they are expected to generate."""

from __future__ import annotations

import msgspec
import testtools

from stagewalk.gateway.batches.engine_memory import (
    MAXIMUM_WITHHELD_SECONDS,
    MEMORY_MARGIN_SHARE,
    OTHER_RUNS_VALID_SECONDS,
    ExpectedRun,
    expected_peak,
)
from stagewalk.gateway.batches.prompt import Prompt, PromptPart
from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.routes.route import EngineLimits, Service
from tests.gateway.batches.support import item
from tests.gateway.batches.test_scheduler import SchedulerHarness

MEMORY = 1_000
ROOM = MEMORY * (1.0 - MEMORY_MARGIN_SHARE)
TOKENS_PER_EVENT = 10


def engines_with_memory(name: str) -> Service | None:
    return Service(name, engine=EngineLimits(MEMORY, TOKENS_PER_EVENT))


def no_prompt(_item: BatchItem) -> Prompt:
    return Prompt()


def group_prompt(spec: BatchItem) -> Prompt:
    """Return a prompt of 300 tokens shared by the item's group, and 10 of its own."""
    return Prompt((PromptPart(spec.group, 300), PromptPart(spec.item, 10)))


def make_harness(
    *engines: str, prompt_of=no_prompt, policy: Policy | None = None
) -> SchedulerHarness:
    options = {} if policy is None else {"policy": policy}
    return SchedulerHarness(
        engines=engines, service=engines_with_memory, prompt_of=prompt_of, **options
    )


def start_until_full(harness: SchedulerHarness) -> None:
    """Have engines respond to their attempts until no more are started."""
    answered: set[str] = set()
    while waiting := set(harness.attempts) - answered:
        for name in waiting:
            harness.head(name)
        answered |= waiting
        harness.tick()


class PeakTests(testtools.TestCase):
    def test_ended_runs_release_their_memory(self) -> None:
        self.assertEqual(0.0, expected_peak([]))
        self.assertEqual(500.0, expected_peak([ExpectedRun(100.0, 400.0)]))
        # When the short run ends, both have generated 50 tokens; the long one then runs alone.
        runs = [ExpectedRun(100.0, 400.0), ExpectedRun(300.0, 50.0)]
        self.assertEqual(500.0, expected_peak(runs))
        runs.append(ExpectedRun(200.0, 50.0))
        self.assertEqual(750.0, expected_peak(runs))

    def test_only_the_steps_within_count(self) -> None:
        runs = [ExpectedRun(100.0, 400.0), ExpectedRun(0.0, 400.0)]
        self.assertEqual(900.0, expected_peak(runs))
        self.assertEqual(140.0, expected_peak(runs, within=20.0))

    def test_the_peak_matches_a_count_of_each_step(self) -> None:
        runs = [ExpectedRun(7.0 * i, 5.0 * ((i * 31) % 13)) for i in range(1, 9)]
        moments = [
            sum(run.held + step for run in runs if run.remaining >= step) for step in range(0, 70)
        ]
        self.assertEqual(max(moments), expected_peak(runs))


class RoomTests(testtools.TestCase):
    def test_long_items_are_spread_over_engines(self) -> None:
        harness = make_harness("e1", "e2", prompt_of=no_prompt)
        harness.open(item("x", 500), item("y", 500))
        self.assertNotEqual(harness.attempts["x"].worker, harness.attempts["y"].worker)

    def test_an_item_that_no_engine_has_memory_for_waits_until_a_run_ends(self) -> None:
        harness = make_harness("e1")
        harness.open(item("x", 500), item("y", 500))
        start_until_full(harness)
        self.assertEqual(["x"], list(harness.attempts))
        self.assertEqual(1, len(harness.withheld))
        (withheld_item,) = harness.withheld
        self.assertEqual(("y", 1), (withheld_item.item, withheld_item.engines))
        self.assertEqual(round(1_000 - ROOM), withheld_item.lacking_tokens)
        harness.tick(0.1)
        self.assertEqual(1, len(harness.withheld))
        harness.complete_text("x")
        harness.tick(0.1)
        self.assertEqual("e1", harness.attempts["y"].worker)

    def test_no_item_waits_longer_than_the_bound(self) -> None:
        harness = make_harness("e1", "e2")
        harness.open(item("x", 700), item("y", 440))
        harness.open_more(item("z", 600))
        start_until_full(harness)
        self.assertEqual({"x", "y"}, set(harness.attempts))
        harness.tick(MAXIMUM_WITHHELD_SECONDS / 2)
        self.assertEqual({"x", "y"}, set(harness.attempts))
        harness.tick(MAXIMUM_WITHHELD_SECONDS / 2)
        self.assertEqual(harness.attempts["y"].worker, harness.attempts["z"].worker)

    def test_an_item_larger_than_any_memory_goes_to_an_engine_that_runs_nothing(self) -> None:
        harness = make_harness("e1")
        harness.open(item("x", 5 * MEMORY))
        self.assertEqual("e1", harness.attempts["x"].worker)

    def test_a_prompt_that_siblings_share_counts_once(self) -> None:
        harness = make_harness("e1", prompt_of=group_prompt)
        harness.open(*(item(f"x{number}", 100) for number in range(3)))
        start_until_full(harness)
        self.assertEqual(3, len(harness.attempts))
        apart = make_harness("e1", prompt_of=group_prompt)
        apart.open(*(item(f"x{number}", 100, group=f"g{number}") for number in range(3)))
        start_until_full(apart)
        self.assertEqual(2, len(apart.attempts))

    def test_runs_of_other_nodes_count_as_a_mean_run(self) -> None:
        harness = make_harness("e1")
        harness.open(item("x", 300))
        harness.head("x", load=WorkerLoad(3, 0, 4))
        harness.open_more(item("y", 200))
        self.assertNotIn("y", harness.attempts)
        harness.tick(OTHER_RUNS_VALID_SECONDS / 2)
        self.assertIn("y", harness.attempts)

    def test_an_engine_with_an_unanswered_attempt_gets_no_further_item(self) -> None:
        harness = make_harness("e1", "e2")
        harness.open(*(item(f"x{number}", 20) for number in range(4)))
        self.assertEqual({"e1", "e2"}, {start.worker for start in harness.attempts.values()})
        self.assertEqual(2, len(harness.attempts))
        self.assertEqual([], harness.withheld)
        first = next(iter(harness.attempts.values()))
        harness.head(first.item.item)
        harness.tick()
        self.assertEqual(3, len(harness.attempts))
        self.assertEqual(first.worker, list(harness.attempts.values())[-1].worker)

    def test_the_maximum_output_bounds_the_expected_length(self) -> None:
        def bounded(_item: BatchItem) -> Prompt:
            return Prompt((), maximum_output_tokens=100)

        harness = make_harness("e1", prompt_of=bounded)
        harness.open(item("x", 600), item("y", 600), item("z", 600))
        start_until_full(harness)
        self.assertEqual(3, len(harness.attempts))

    def test_a_short_item_fits_where_memory_is_needed_only_after_its_end(self) -> None:
        harness = make_harness("e1")
        harness.open(item("x", 450), item("y", 350))
        harness.open_more(item("z", 30))
        start_until_full(harness)
        self.assertIn("z", harness.attempts)

    def test_a_stopped_run_releases_its_memory(self) -> None:
        harness = make_harness("e1")
        harness.open(item("x", 500))
        harness.head("x")
        self.assertEqual({"e1": 500}, harness.scheduler.engine_tokens(harness.now))
        harness.execute(harness.scheduler.close("b", "ended"))
        self.assertEqual({}, harness.scheduler.engine_tokens(harness.now))
        harness.open_more(item("y", 500))
        self.assertIn("y", harness.attempts)

    def test_items_of_another_route_are_tried_while_the_first_is_blocked(self) -> None:
        harness = make_harness("e1")
        elsewhere = msgspec.structs.replace(item("z", 20), path="/run/other/z")
        harness.open(item("w", 60), item("x", 50), item("y", 40), elsewhere)
        self.assertEqual(["w"], list(harness.attempts))
        blocked = harness.scheduler._starter._blocked
        self.assertEqual({"/run", "/run/other"}, {alike.directory for alike in blocked})

    def test_the_policy_disables_memory_checks(self) -> None:
        harness = make_harness("e1", policy=Policy(engine_memory=False))
        harness.open(item("x", 500), item("y", 500))
        self.assertEqual({"x", "y"}, set(harness.attempts))

    def test_the_expected_tokens_of_each_engine_are_reported(self) -> None:
        harness = make_harness("e1", "e2", prompt_of=group_prompt)
        harness.open(item("x", 400))
        engine = harness.attempts["x"].worker
        self.assertEqual({engine: 710}, harness.scheduler.engine_tokens(harness.now))
        harness.complete_text("x", events=40)
        self.assertEqual({}, harness.scheduler.engine_tokens(harness.now))


class MoveTests(testtools.TestCase):
    def test_an_item_stays_at_a_slow_engine_while_the_fast_one_lacks_memory(self) -> None:
        for memory, moved in ((True, False), (False, True)):
            harness = make_harness("e1", "e2", policy=Policy(engine_memory=memory))
            harness.open(item("w", 10))
            harness.complete_text("w", events=1)
            harness.open_more(item("x", 600), item("y", 600))
            slow = harness.workers.worker(harness.attempts["x"].worker)
            fast = harness.workers.worker(harness.attempts["y"].worker)
            self.assertNotEqual(slow, fast)
            harness.head("x")
            harness.head("y")
            harness.event("x", 1)
            harness.event("y", 1)
            slow.record_success(0.5, harness.now)
            fast.record_success(0.05, harness.now)
            harness.tick(0.1)
            self.assertEqual(moved, "faster elsewhere" in harness.stopped.values())
