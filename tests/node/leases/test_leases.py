"""Leases of several candidates on one log, with pauses and restarts."""

from __future__ import annotations

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from stagewalk.common.identities import Epoch, Incarnation, NodeName, RecordId
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.leases.config import LeaseConfig
from stagewalk.node.leases.core import LeaseCandidate, LeaseCore, LiveMember
from stagewalk.node.leases.notifications import LeaseAcquired, LeaseLost, LeaseOutput
from stagewalk.node.leases.state_machine import Acquire, LeaseStateMachine, Release, encode_record
from stagewalk.node.log_client.notifications import AppendToStream

DUTIES = ("placement", "rollout/m")
TICK = 0.1


class Pool:
    """Nodes that share a log; each reads it at every tick unless paused or the log is down."""

    def __init__(self, names: str, seed: int = 0) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.log: list[bytes] = []
        self.cores: dict[str, LeaseCore] = {}
        self.incarnations: dict[str, int] = {}
        self.folded: dict[str, int] = {}
        self.paused: set[str] = set()
        self.dead: set[str] = set()
        self.suspected: set[str] = set()
        self.log_down = False
        self.acquired: list[tuple[str, str, Epoch]] = []
        self.lost: list[tuple[str, str]] = []
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.dead.discard(name)
        self.paused.discard(name)
        identity = LeaseCandidate(NodeName(name), Incarnation(self.incarnations[name]))
        generator = random.Random(self.random.random())
        self.cores[name] = LeaseCore(identity, LeaseConfig(), generator)
        self.cores[name].set_duties(DUTIES)
        self.folded[name] = 0

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += TICK
            for name in sorted(self.cores):
                if name not in self.dead | self.paused:
                    self.tick(name)

    def tick(self, name: str) -> None:
        core = self.cores[name]
        live = set(self.cores) - self.dead - self.paused - self.suspected
        core.set_members(
            {
                NodeName(other): LiveMember(Incarnation(self.incarnations[other]))
                for other in sorted(live | {name})
            }
        )
        self.take(name, core.tick(self.now))
        if self.log_down:
            return
        while self.folded[name] < len(self.log):
            offset = self.folded[name]
            record = LogRecord(offset, RecordId(str(offset)), self.log[offset])
            self.folded[name] += 1
            self.take(name, core.fold(record))
        self.take(name, core.record_caught_up(self.now))

    def take(self, name: str, outputs: list[LeaseOutput]) -> None:
        for output in outputs:
            if isinstance(output, AppendToStream) and not self.log_down:
                self.log.append(output.payload)
            elif isinstance(output, LeaseAcquired):
                self.acquired.append((name, output.duty, output.epoch))
            elif isinstance(output, LeaseLost):
                self.lost.append((name, output.duty))

    def act(self, kind: str, name: str) -> None:
        if kind == "pause":
            self.paused.add(name)
        elif kind == "wake":
            self.paused.discard(name)
        elif kind == "kill":
            self.dead.add(name)
        elif kind == "start":
            self.start(name)
        elif kind == "suspect":
            self.suspected ^= {name}
        elif kind == "log":
            self.log_down = not self.log_down
        elif name not in self.dead | self.paused:
            self.take(name, self.cores[name].release_all())

    def holders(self, duty: str) -> list[str]:
        live = sorted(set(self.cores) - self.dead)
        return [name for name in live if duty in self.cores[name].held()]


class LeaseTest(testtools.TestCase):
    def test_each_duty_gets_one_holder_and_holding_appends_no_records(self) -> None:
        pool = Pool("abcd")
        pool.run(2.0)
        for duty in DUTIES:
            (holder,) = pool.holders(duty)
            for core in pool.cores.values():
                self.assertEqual((holder, 1), (core.holder(duty), core.epoch(duty)))
        self.assertEqual(len(DUTIES), len(pool.log))
        pool.run(60.0)
        self.assertEqual(len(DUTIES), len(pool.log))

    def test_dead_holder_is_replaced_under_next_epoch(self) -> None:
        pool = Pool("abcd")
        pool.run(2.0)
        (holder,) = pool.holders("placement")
        pool.dead.add(holder)
        pool.run(LeaseConfig().ttl_seconds + 1.0)
        (successor,) = pool.holders("placement")
        self.assertEqual(2, pool.cores[successor].held()["placement"])

    def test_restarted_holder_reacquires_its_duty_at_once(self) -> None:
        pool = Pool("abcd")
        pool.run(2.0)
        (holder,) = pool.holders("placement")
        pool.start(holder)
        pool.run(0.5)
        self.assertEqual([holder], pool.holders("placement"))
        self.assertEqual(2, pool.cores[holder].held()["placement"])

    def test_releasing_all_duties_hands_over_at_once(self) -> None:
        pool = Pool("abcd")
        pool.run(2.0)
        (holder,) = pool.holders("placement")
        pool.take(holder, pool.cores[holder].release_all())
        self.assertEqual({}, pool.cores[holder].held())
        pool.dead.add(holder)
        pool.run(0.5)
        self.assertEqual(1, len(pool.holders("placement")))

    def test_resumed_holder_acts_only_after_reading_the_log(self) -> None:
        pool = Pool("abcd")
        pool.run(2.0)
        (holder,) = pool.holders("placement")
        pool.paused.add(holder)
        pool.run(10.0)
        pool.paused.clear()
        core = pool.cores[holder]
        pool.take(holder, core.tick(pool.now))
        self.assertEqual({}, core.held())
        self.assertIn((holder, "placement"), pool.lost)
        pool.run(0.5)
        self.assertNotIn(holder, pool.holders("placement"))

    def test_resumed_holder_without_successor_keeps_its_lease(self) -> None:
        pool = Pool("a")
        pool.run(2.0)
        pool.paused.add("a")
        pool.run(10.0)
        pool.paused.clear()
        pool.run(0.2)
        self.assertEqual(["a"], pool.holders("placement"))
        self.assertEqual(1, pool.cores["a"].epoch("placement"))

    def test_removed_duty_is_released(self) -> None:
        pool = Pool("ab")
        pool.run(2.0)
        for core in pool.cores.values():
            core.set_duties(["placement"])
        pool.run(1.0)
        self.assertIsNone(pool.cores["a"].holder("rollout/m"))
        self.assertEqual(1, pool.cores["a"].epoch("rollout/m"))

    @settings(max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("pause", "wake", "kill", "start", "suspect", "log", "stop")),
                st.sampled_from("abc"),
            ),
            max_size=15,
        ),
        st.integers(0, 1000),
    )
    def test_no_epoch_has_two_holders_and_duties_find_one(
        self, actions: list[tuple[str, str]], seed: int
    ) -> None:
        pool = Pool("abc", seed)
        pool.run(2.0)
        for kind, name in actions:
            pool.act(kind, name)
            pool.run(1.0)
        holders: dict[tuple[str, int], set[str]] = {}
        for name, duty, epoch in pool.acquired:
            holders.setdefault((duty, epoch), set()).add(name)
        for names in holders.values():
            self.assertEqual(1, len(names))
        pool.log_down = False
        pool.suspected.clear()
        pool.paused.clear()
        for name in "abc":
            pool.start(name)
        pool.run(8.0)
        for duty in DUTIES:
            self.assertEqual(1, len(pool.holders(duty)))


class LeaseStateMachineTest(testtools.TestCase):
    def apply(self, state_machine: LeaseStateMachine, record: Acquire | Release) -> bool:
        payload = encode_record(record)
        return state_machine.apply(LogRecord(0, RecordId("r"), payload)).lease is not None

    def test_only_next_epoch_is_accepted_and_only_holder_releases(self) -> None:
        state_machine = LeaseStateMachine()
        first = Acquire(duty="d", holder="a", incarnation=1, epoch=1)
        self.assertTrue(self.apply(state_machine, first))
        for record in (
            first,
            Acquire(duty="d", holder="b", incarnation=1, epoch=1),
            Acquire(duty="d", holder="b", incarnation=1, epoch=3),
            Release(duty="d", holder="b", incarnation=1, epoch=1),
            Release(duty="d", holder="a", incarnation=2, epoch=1),
        ):
            self.assertFalse(self.apply(state_machine, record))
        self.assertTrue(
            self.apply(state_machine, Release(duty="d", holder="a", incarnation=1, epoch=1))
        )
        self.assertFalse(self.apply(state_machine, first))
        self.assertTrue(
            self.apply(state_machine, Acquire(duty="d", holder="b", incarnation=1, epoch=2))
        )
        self.assertFalse(state_machine.apply(LogRecord(9, RecordId("r"), b"?")).lease is not None)
