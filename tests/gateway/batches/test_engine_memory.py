"""Items go where the engine's memory has room for what they are expected to make."""

from __future__ import annotations

import msgspec
import testtools

from stagewalk.gateway.batches.engine_memory import (
    MARGIN_SHARE,
    MAXIMUM_WITHHELD_SECONDS,
    OTHERS_VALID_SECONDS,
    ExpectedRun,
    expected_peak,
)
from stagewalk.gateway.batches.prompt import Prompt, PromptPart
from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.routes.route import EngineLimits, Service
from tests.gateway.batches.support import item
from tests.gateway.batches.test_scheduler import Bench

MEMORY = 1_000
ROOM = MEMORY * (1.0 - MARGIN_SHARE)
TOKENS_PER_EVENT = 10


def engines_with_memory(name: str) -> Service | None:
    return Service(name, engine=EngineLimits(MEMORY, TOKENS_PER_EVENT))


def no_prompt(_item: BatchItem) -> Prompt:
    return Prompt()


def group_prompt(spec: BatchItem) -> Prompt:
    """Return a prompt of 300 tokens that the item's group shares, and 10 of its own."""
    return Prompt((PromptPart(spec.group, 300), PromptPart(spec.item, 10)))


def bench(*engines: str, prompt_of=no_prompt, policy: Policy | None = None) -> Bench:
    kept = {} if policy is None else {"policy": policy}
    return Bench(engines=engines, service=engines_with_memory, prompt_of=prompt_of, **kept)


def fill(world: Bench) -> None:
    """Let engines begin whatever they were given until nothing more is."""
    begun: set[str] = set()
    while waiting := set(world.attempts) - begun:
        for name in waiting:
            world.head(name)
        begun |= waiting
        world.tick()


class PeakTests(testtools.TestCase):
    def test_runs_that_end_give_their_memory_back(self) -> None:
        self.assertEqual(0.0, expected_peak([]))
        self.assertEqual(500.0, expected_peak([ExpectedRun(100.0, 400.0)]))
        # As the short one ends both have made 50; as the long one ends it is alone.
        runs = [ExpectedRun(100.0, 400.0), ExpectedRun(300.0, 50.0)]
        self.assertEqual(500.0, expected_peak(runs))
        runs.append(ExpectedRun(200.0, 50.0))
        self.assertEqual(750.0, expected_peak(runs))

    def test_only_the_time_within_counts(self) -> None:
        runs = [ExpectedRun(100.0, 400.0), ExpectedRun(0.0, 400.0)]
        self.assertEqual(900.0, expected_peak(runs))
        self.assertEqual(140.0, expected_peak(runs, within=20.0))

    def test_no_moment_holds_more_than_the_peak(self) -> None:
        runs = [ExpectedRun(7.0 * i, 5.0 * ((i * 31) % 13)) for i in range(1, 9)]
        moments = [
            sum(run.held + step for run in runs if run.left >= step) for step in range(0, 70)
        ]
        self.assertEqual(max(moments), expected_peak(runs))


class RoomTests(testtools.TestCase):
    def test_long_items_are_spread_over_engines(self) -> None:
        world = bench("e1", "e2", prompt_of=no_prompt)
        world.open(item("x", 500), item("y", 500))
        self.assertNotEqual(world.attempts["x"].worker, world.attempts["y"].worker)

    def test_an_item_that_no_engine_has_memory_for_waits_until_a_run_ends(self) -> None:
        world = bench("e1")
        world.open(item("x", 500), item("y", 500))
        fill(world)
        self.assertEqual(["x"], list(world.attempts))
        self.assertEqual(1, len(world.withheld))
        (said,) = world.withheld
        self.assertEqual(("y", 1), (said.item, said.engines))
        self.assertEqual(round(1_000 - ROOM), said.lacking_tokens)
        world.tick(0.1)
        self.assertEqual(1, len(world.withheld))
        world.run_whole("x")
        world.tick(0.1)
        self.assertEqual("e1", world.attempts["y"].worker)

    def test_no_item_waits_longer_than_the_bound(self) -> None:
        world = bench("e1", "e2")
        world.open(item("x", 700), item("y", 440))
        world.open_more(item("z", 600))
        fill(world)
        self.assertEqual({"x", "y"}, set(world.attempts))
        world.tick(MAXIMUM_WITHHELD_SECONDS / 2)
        self.assertEqual({"x", "y"}, set(world.attempts))
        world.tick(MAXIMUM_WITHHELD_SECONDS / 2)
        self.assertEqual(world.attempts["y"].worker, world.attempts["z"].worker)

    def test_an_item_larger_than_any_memory_goes_to_an_engine_that_runs_nothing(self) -> None:
        world = bench("e1")
        world.open(item("x", 5 * MEMORY))
        self.assertEqual("e1", world.attempts["x"].worker)

    def test_a_prompt_that_siblings_share_counts_once(self) -> None:
        world = bench("e1", prompt_of=group_prompt)
        world.open(*(item(f"x{number}", 100) for number in range(3)))
        fill(world)
        self.assertEqual(3, len(world.attempts))
        apart = bench("e1", prompt_of=group_prompt)
        apart.open(*(item(f"x{number}", 100, group=f"g{number}") for number in range(3)))
        fill(apart)
        self.assertEqual(2, len(apart.attempts))

    def test_runs_of_other_nodes_count_as_a_usual_run(self) -> None:
        world = bench("e1")
        world.open(item("x", 300))
        world.head("x", load=WorkerLoad(3, 0, 4))
        world.open_more(item("y", 200))
        self.assertNotIn("y", world.attempts)
        world.tick(OTHERS_VALID_SECONDS / 2)
        self.assertIn("y", world.attempts)

    def test_an_engine_that_has_not_begun_gets_no_further_item(self) -> None:
        world = bench("e1", "e2")
        world.open(*(item(f"x{number}", 20) for number in range(4)))
        self.assertEqual({"e1", "e2"}, {start.worker for start in world.attempts.values()})
        self.assertEqual(2, len(world.attempts))
        self.assertEqual([], world.withheld)
        first = next(iter(world.attempts.values()))
        world.head(first.item.item)
        world.tick()
        self.assertEqual(3, len(world.attempts))
        self.assertEqual(first.worker, list(world.attempts.values())[-1].worker)

    def test_what_an_item_may_make_at_most_bounds_the_guess(self) -> None:
        def bounded(_item: BatchItem) -> Prompt:
            return Prompt((), maximum_output_tokens=100)

        world = bench("e1", prompt_of=bounded)
        world.open(item("x", 600), item("y", 600), item("z", 600))
        fill(world)
        self.assertEqual(3, len(world.attempts))

    def test_a_short_item_fits_where_memory_is_needed_only_after_its_end(self) -> None:
        world = bench("e1")
        world.open(item("x", 450), item("y", 350))
        world.open_more(item("z", 30))
        fill(world)
        self.assertIn("z", world.attempts)

    def test_a_stopped_run_gives_its_room_back(self) -> None:
        world = bench("e1")
        world.open(item("x", 500))
        world.head("x")
        self.assertEqual({"e1": 500}, world.scheduler.engine_tokens(world.now))
        world.take(world.scheduler.close("b", "ended"))
        self.assertEqual({}, world.scheduler.engine_tokens(world.now))
        world.open_more(item("y", 500))
        self.assertIn("y", world.attempts)

    def test_items_of_another_route_are_tried_though_engines_of_the_first_are_closed(self) -> None:
        world = bench("e1")
        elsewhere = msgspec.structs.replace(item("z", 20), path="/run/other/z")
        world.open(item("w", 60), item("x", 50), item("y", 40), elsewhere)
        self.assertEqual(["w"], list(world.attempts))
        closed = world.scheduler._starter._closed
        self.assertEqual({"/run", "/run/other"}, {alike.directory for alike in closed})

    def test_the_switch_turns_it_off(self) -> None:
        world = bench("e1", policy=Policy(engine_memory=False))
        world.open(item("x", 500), item("y", 500))
        self.assertEqual({"x", "y"}, set(world.attempts))

    def test_the_tokens_expected_of_each_engine_are_known(self) -> None:
        world = bench("e1", "e2", prompt_of=group_prompt)
        world.open(item("x", 400))
        engine = world.attempts["x"].worker
        self.assertEqual({engine: 710}, world.scheduler.engine_tokens(world.now))
        world.run_whole("x", events=40)
        self.assertEqual({}, world.scheduler.engine_tokens(world.now))


class MoveTests(testtools.TestCase):
    def test_an_item_stays_at_a_slow_engine_while_the_fast_one_lacks_memory(self) -> None:
        for memory, moved in ((True, False), (False, True)):
            world = bench("e1", "e2", policy=Policy(engine_memory=memory))
            world.open(item("w", 10))
            world.run_whole("w", events=1)
            world.open_more(item("x", 600), item("y", 600))
            slow = world.workers.worker(world.attempts["x"].worker)
            fast = world.workers.worker(world.attempts["y"].worker)
            self.assertNotEqual(slow, fast)
            world.head("x")
            world.head("y")
            world.event("x", 1)
            world.event("y", 1)
            slow.record_success(0.5, world.now)
            fast.record_success(0.05, world.now)
            world.tick(0.1)
            self.assertEqual(moved, "faster elsewhere" in world.stopped.values())
