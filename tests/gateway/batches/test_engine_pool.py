"""Choosing engines by memory preempts fewer runs and delays no step when trainers share engines.

The engines have half the memory that their slots would need for long texts.
"""

from __future__ import annotations

import dataclasses
from statistics import fmean

import testtools

from stagewalk.gateway.policy import Policy
from tests.gateway.batches.engine_pool import EnginePool, PoolConfig

SMALL_MEMORY = PoolConfig(memory_tokens=14_000)
STEPS = 3
SEEDS = (1, 2, 3)
DUE_SECONDS = 7.5


def run_pool(config: PoolConfig, seed: int, *, by_memory: bool) -> EnginePool:
    pool = EnginePool(config, seed, Policy(engine_memory=by_memory))
    pool.run_steps(STEPS)
    return pool


class EnginePoolTests(testtools.TestCase):
    def test_fewer_runs_are_stopped_and_steps_end_no_later(self) -> None:
        by_slots = [run_pool(SMALL_MEMORY, seed, by_memory=False) for seed in SEEDS]
        by_memory = [run_pool(SMALL_MEMORY, seed, by_memory=True) for seed in SEEDS]
        stopped = [sum(pool.preempted for pool in pools) for pools in (by_slots, by_memory)]
        self.assertLess(stopped[1], stopped[0] / 2)
        steps = [
            [step.seconds() for pool in pools for step in pool.steps.values()]
            for pools in (by_slots, by_memory)
        ]
        self.assertLessEqual(fmean(steps[1]), fmean(steps[0]))
        self.assertLessEqual(max(steps[1]), DUE_SECONDS)

    def test_every_item_ends_though_one_alone_fills_an_engine(self) -> None:
        config = dataclasses.replace(SMALL_MEMORY, memory_tokens=5_500, groups=((4, 8),), engines=6)
        pool = run_pool(config, 4, by_memory=True)
        self.assertEqual(0, sum(step.remaining for step in pool.steps.values()))
