"""The lease in the log: one holder at a time, a quiet time between holders, increasing fences."""

from __future__ import annotations

import itertools
import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.gateway.leases.log_lease import (
    LEASE_SECONDS,
    Acquire,
    LogLease,
    Renew,
    decode_lease_record,
)

QUIET = 3.0
STEP = 0.1
SLOWEST_READ_STEPS = 5


class Process:
    """A process's view of the lease, its position in the log, and the times at which it acted."""

    def __init__(self, name: str, jitter_seconds: float) -> None:
        self.name = name
        self.lease = LogLease(name, QUIET, jitter_seconds)
        self.read_to = 0
        self.paused = False
        self.acted: list[float] = []


class World:
    """Simulates a log of lease records, and processes that pause, lose answers and lag."""

    def __init__(self, rng: random.Random) -> None:
        self.now = 0.0
        self.rng = rng
        self.records: list[bytes] = []
        self.processes = [Process(f"p{n}#1", n * 0.15) for n in range(4)]

    def append(self, payload: bytes) -> int:
        self.records.append(payload)
        return len(self.records) - 1

    def step(self, process: Process) -> None:
        if process.paused:
            return
        for offset in range(process.read_to, len(self.records)):
            record = decode_lease_record(self.records[offset])
            process.lease.apply(offset, record, self.now)
        process.read_to = len(self.records)
        step = process.lease.decide(self.now, current=True)
        if isinstance(step, Acquire) and step.end == len(self.records):
            offset = self.append(step.record.encode())
            if self.rng.random() < 0.7:
                process.lease.apply(offset, step.record, self.now)
                process.read_to = offset + 1
                process.lease.record_accepted(self.now, offset)
        elif isinstance(step, Renew):
            self.append(step.record.encode())
            if self.rng.random() < 0.8:
                process.lease.record_accepted(self.now, step.record.fence)
        if process.lease.may_act(self.now):
            process.acted.append(self.now)

    def run(self, seconds: float, pauses: bool) -> None:
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            for process in self.processes:
                if pauses and self.rng.random() < 0.02:
                    process.paused = not process.paused
                self.step(process)


class LogLeaseTests(testtools.TestCase):
    def test_without_failures_one_holder_acts_all_the_time(self) -> None:
        world = World(random.Random(1))
        world.run(20.0, pauses=False)
        actors = [process for process in world.processes if process.acted]
        self.assertEqual(1, len(actors))
        self.assertGreater(len(actors[0].acted), 150)

    @given(st.integers(min_value=0, max_value=100_000))
    def test_holders_never_take_turns_within_the_quiet_time(self, seed: int) -> None:
        world = World(random.Random(seed))
        world.run(60.0, pauses=True)
        acts = sorted((at, process.name) for process in world.processes for at in process.acted)
        for (before, one), (after, other) in itertools.pairwise(acts):
            if one != other:
                self.assertGreaterEqual(after - before, QUIET - STEP)

    def test_another_process_takes_over_from_a_failed_holder(self) -> None:
        world = World(random.Random(1))
        world.run(5.0, pauses=False)
        holder = next(process for process in world.processes if process.acted)
        holder.paused = True
        world.run(10.0, pauses=False)
        others = [process for process in world.processes if process is not holder]
        self.assertTrue(any(process.acted for process in others))

    def test_a_holder_that_was_paused_past_its_lease_does_not_act(self) -> None:
        lease = LogLease("a#1", QUIET, 0.0)
        step = lease.decide(0.0, current=True)
        lease.apply(0, step.record, 0.0)
        lease.record_accepted(0.0, 0)
        self.assertTrue(lease.may_act(LEASE_SECONDS - 0.1))
        self.assertFalse(lease.may_act(LEASE_SECONDS + 0.1))

    def test_the_fence_increases_with_each_holder(self) -> None:
        world = World(random.Random(3))
        fences = []
        for _ in range(3):
            world.run(12.0, pauses=False)
            holder = next(p for p in world.processes if p.lease.may_act(world.now))
            fences.append(holder.lease.fence)
            holder.paused = True
        self.assertEqual(sorted(set(fences)), fences)

    def test_a_restarted_holder_acts_at_once_while_others_wait(self) -> None:
        before = LogLease("a#1", QUIET, 0.0)
        acquired = before.decide(0.0, current=True).record
        restarted, other = LogLease("a#2", QUIET, 1.0), LogLease("b#1", QUIET, 0.0)
        for lease in (restarted, other):
            lease.apply(0, acquired, 5.0)
        self.assertIsNone(other.decide(5.1, current=True))
        step = restarted.decide(5.1, current=True)
        self.assertIsInstance(step, Acquire)
        restarted.apply(1, step.record, 5.2)
        restarted.record_accepted(5.1, 1)
        self.assertTrue(restarted.may_act(5.3))
        self.assertEqual(1, restarted.fence)

    def test_a_released_lease_is_acquired_at_once_but_the_quiet_time_applies(self) -> None:
        lease, next_lease = LogLease("a#1", QUIET, 0.0), LogLease("b#1", QUIET, 0.0)
        acquired = lease.decide(0.0, current=True).record
        lease.apply(0, acquired, 0.0)
        next_lease.apply(0, acquired, 0.0)
        released = lease.release().record
        next_lease.apply(1, released, 1.0)
        step = next_lease.decide(1.1, current=True)
        self.assertIsInstance(step, Acquire)
        next_lease.apply(2, step.record, 1.1)
        next_lease.record_accepted(1.1, 2)
        self.assertFalse(next_lease.may_act(1.2))
        next_lease.record_accepted(3.9, 2)
        self.assertTrue(next_lease.may_act(4.2))

    def test_a_fenced_holder_no_longer_acts_under_its_fence(self) -> None:
        lease = LogLease("a#1", QUIET, 0.0)
        lease.apply(0, lease.decide(0.0, current=True).record, 0.0)
        lease.record_accepted(0.0, 0)
        self.assertTrue(lease.may_act(0.1))
        lease.handle_fenced(fence=0)
        self.assertFalse(lease.may_act(0.1))
        lease.record_accepted(0.1, 0)
        self.assertFalse(lease.may_act(0.2))
        step = lease.decide(0.2, current=True)
        self.assertIsInstance(step, Acquire)
        lease.apply(1, step.record, 0.2)
        lease.record_accepted(0.2, 1)
        self.assertEqual(1, lease.fence)
        self.assertTrue(lease.may_act(0.3))

    def test_being_fenced_under_another_fence_than_the_current_one_is_ignored(self) -> None:
        lease = LogLease("a#1", QUIET, 0.0)
        lease.apply(5, lease.decide(0.0, current=True).record, 0.0)
        lease.record_accepted(0.0, 5)
        lease.handle_fenced(fence=3)
        self.assertTrue(lease.may_act(0.1))
