"""Tests that the router chooses the engine with the lowest expected completion time."""

from __future__ import annotations

import random

import testtools

from stagewalk.common.errors import ErrorKind, ExecutionStatus
from stagewalk.common.identities import AttemptId, EngineName, Incarnation, Placement
from stagewalk.node.routing.config import (
    EngineTableConfig,
    OutlierConfig,
    PrefixIndexConfig,
    RouterConfig,
    ScoreConfig,
)
from stagewalk.node.routing.engine_record import EngineRecord
from stagewalk.node.routing.engine_table import EngineTable
from stagewalk.node.routing.prefix_index import PrefixIndex, hash_blocks
from stagewalk.node.routing.router import Router
from tests.node.requests.support import PLACE, Identity, machine, report, request

LONG_PROMPT = "survey sheet boundary parcel " * 200
NO_SLOW_START = ScoreConfig(slow_start_factor=0.0)


def engines(count: int) -> list[str]:
    return [f"e{number}" for number in range(1, count + 1)]


class RouterFixture:
    """A router with engines that have just reported."""

    def __init__(self, config: RouterConfig | None = None, count: int = 3) -> None:
        self.now = 0.0
        self.table = EngineTable(Identity(), EngineTableConfig())
        self.table.handle_machines([machine(name) for name in engines(count)], 0.0)
        config = config or RouterConfig(score=NO_SLOW_START)
        self.router = Router(Identity(), self.table, config, random.Random(1))
        for name in engines(count):
            self.report(name)

    def report(self, name: str, **changes: object) -> None:
        self.table.handle_report(EngineName(name), report(name, self.now, **changes), self.now)

    def choose(self, excluded: tuple[str, ...] = (), **changes: object) -> str:
        names = frozenset(EngineName(name) for name in excluded)
        return self.router.choose(request(**changes), names, self.now).ok.engine  # type: ignore[arg-type]

    def start(self, engine: str, attempt: str, **changes: object) -> None:
        started = request(**changes)  # type: ignore[arg-type]
        self.router.record_started(EngineName(engine), AttemptId(attempt), started, self.now)


class RouterTest(testtools.TestCase):
    def test_loaded_engines_are_avoided(self) -> None:
        fixture = RouterFixture()
        fixture.report("e1", running=8, waiting=4, pending_tokens=900)
        fixture.report("e2", running=8, waiting=1, pending_tokens=700)
        self.assertEqual("e3", fixture.choose())

    def test_own_attempts_since_the_report_count_as_load(self) -> None:
        fixture = RouterFixture()
        for number in range(6):
            fixture.start(fixture.choose(), f"a{number}")
        sent = [fixture.table.record(EngineName(name)).added_sequences for name in engines(3)]
        self.assertEqual([2, 2, 2], sent)

    def test_version_bounds_are_obeyed(self) -> None:
        fixture = RouterFixture()
        fixture.report("e2", active_version=3)
        self.assertEqual("e2", fixture.choose(minimum_version=2, maximum_version=3))
        refused = fixture.router.choose(request(minimum_version=4), frozenset(), 0.0).error
        self.assertEqual((ErrorKind.NO_ENGINE, ExecutionStatus.NO), (refused.kind, refused.ran))

    def test_excluded_engines_are_not_chosen(self) -> None:
        self.assertEqual("e3", RouterFixture().choose(excluded=("e1", "e2")))

    def test_cached_prefix_attracts_until_the_engine_restarts(self) -> None:
        fixture = RouterFixture()
        fixture.start("e2", "a1", prompt=LONG_PROMPT)
        fixture.router.record_finished(EngineName("e2"), AttemptId("a1"), 0.0)
        self.assertEqual("e2", fixture.choose(prompt=LONG_PROMPT + "and what follows"))
        fixture.report("e2", incarnation=Incarnation(2))
        self.assertNotEqual("e2", fixture.choose(prompt=LONG_PROMPT))

    def test_new_engine_is_loaded_slowly(self) -> None:
        fixture = RouterFixture(RouterConfig(), count=2)
        fixture.now = 20.0
        fixture.report("e1", running=2)
        fixture.report("e2", incarnation=Incarnation(2))
        self.assertEqual("e1", fixture.choose())
        fixture.now = 26.0
        fixture.report("e1", running=2)
        fixture.report("e2", incarnation=Incarnation(2))
        self.assertEqual("e2", fixture.choose())

    def test_outliers_are_ejected_but_not_all(self) -> None:
        fixture = RouterFixture(
            RouterConfig(score=NO_SLOW_START, outlier=OutlierConfig(failures_to_eject=2))
        )
        for name in ("e1", "e2", "e3"):
            for number in range(2):
                fixture.start(name, f"{name}{number}")
                fixture.router.record_failed(EngineName(name), AttemptId(f"{name}{number}"), 0.0)
            if name == "e1":
                chosen = {fixture.choose() for _ in range(10)}
                self.assertNotIn("e1", chosen)
        self.assertIn(fixture.choose(), engines(3))

    def test_own_region_is_preferred(self) -> None:
        fixture = RouterFixture()
        far = machine("e1", Placement("jordan", "abdali-vault"))
        near = machine("e2", Placement(PLACE.region, "hall-east"))
        fixture.table.handle_machines([far, near], 0.0)
        self.assertEqual("e2", fixture.choose(excluded=("e3",)))

    def test_work_is_spread_over_equal_engines(self) -> None:
        fixture = RouterFixture(RouterConfig(score=NO_SLOW_START))
        for number in range(30):
            prompt = f"{number} {LONG_PROMPT}"
            fixture.start(fixture.choose(prompt=prompt), f"a{number}", prompt=prompt)
        sent = [fixture.table.record(EngineName(name)).added_sequences for name in engines(3)]
        self.assertTrue(all(count >= 5 for count in sent), f"{sent}")

    def test_same_inputs_same_choices(self) -> None:
        def run() -> list[str]:
            fixture = RouterFixture(count=12)
            chosen = []
            for number in range(40):
                chosen.append(fixture.choose(prompt=f"{number % 5} {LONG_PROMPT}"))
                fixture.start(chosen[-1], f"a{number}", prompt=f"{number % 5} {LONG_PROMPT}")
            return chosen

        self.assertEqual(run(), run())
        self.assertGreater(len(set(run())), 3)


class PrefixIndexTest(testtools.TestCase):
    def test_memory_is_bounded_and_keeps_the_start_of_prompts_longest(self) -> None:
        config = PrefixIndexConfig(block_characters=4, maximum_blocks_per_engine=4)
        index = PrefixIndex(config)
        engine = EngineRecord(machine("e1"))
        for start in ("old ", "new "):
            index.record_sent(engine, hash_blocks(start + "abcdefgh", config))
        self.assertEqual(3.0, index.matched_tokens(engine, hash_blocks("new abcdefgh", config)))
        self.assertEqual(1.0, index.matched_tokens(engine, hash_blocks("old abcdefgh", config)))

    def test_equal_blocks_after_different_starts_do_not_match(self) -> None:
        config = PrefixIndexConfig(block_characters=4)
        index = PrefixIndex(config)
        engine = EngineRecord(machine("e1"))
        index.record_sent(engine, hash_blocks("one same", config))
        other = hash_blocks("two same", config)
        self.assertEqual(0.0, index.matched_tokens(engine, other))
