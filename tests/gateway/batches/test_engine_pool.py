"""Trainers that fill the same engines in the same moments: few runs are stopped, no step is later.

The engines have half the memory that their slots would need for long texts.
"""

from __future__ import annotations

import dataclasses
from statistics import fmean

import testtools

from stagewalk.gateway.policy import Policy
from tests.gateway.batches.engine_pool import EnginePool, Shape

TIGHT = Shape(memory_tokens=14_000)
STEPS = 3
SEEDS = (1, 2, 3)
DUE_SECONDS = 7.5


def played(shape: Shape, seed: int, *, by_memory: bool) -> EnginePool:
    pool = EnginePool(shape, seed, Policy(engine_memory=by_memory))
    pool.play(STEPS)
    return pool


class EnginePoolTests(testtools.TestCase):
    def test_fewer_runs_are_stopped_and_steps_end_no_later(self) -> None:
        by_slots = [played(TIGHT, seed, by_memory=False) for seed in SEEDS]
        by_memory = [played(TIGHT, seed, by_memory=True) for seed in SEEDS]
        stopped = [sum(pool.preempted for pool in pools) for pools in (by_slots, by_memory)]
        self.assertLess(stopped[1], stopped[0] / 2)
        steps = [
            [step.seconds() for pool in pools for step in pool.steps.values()]
            for pools in (by_slots, by_memory)
        ]
        self.assertLessEqual(fmean(steps[1]), fmean(steps[0]))
        self.assertLessEqual(max(steps[1]), DUE_SECONDS)

    def test_every_item_ends_though_one_alone_fills_an_engine(self) -> None:
        shape = dataclasses.replace(TIGHT, memory_tokens=5_500, groups=((4, 8),), engines=6)
        pool = played(shape, 4, by_memory=True)
        self.assertEqual(0, sum(step.left for step in pool.steps.values()))
