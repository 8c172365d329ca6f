"""Tests of the placement fold and of the placement planner."""

from __future__ import annotations

import testtools

from stagewalk.common.identities import Incarnation, NodeName, Placement, RecordId
from stagewalk.node.claims.placement import (
    AbandonedGroup,
    GroupChange,
    MemberRecord,
    PlacementChange,
    PlacementRecord,
    PlacementStateMachine,
    RecoveryAbandoned,
    encode_record,
)
from stagewalk.node.claims.planner import (
    PlacementCandidate,
    PlacementPlanner,
    PlacementPlannerConfig,
)
from stagewalk.node.core.platform import LogRecord


def change(base_epoch: int, names: str, fence: int = 1, forgets: bool = False) -> PlacementChange:
    members = tuple(MemberRecord(name, 1) for name in names)
    item = GroupChange(partition=0, base_epoch=base_epoch, members=members, forgets=forgets)
    return PlacementChange(fence=fence, changes=(item,))


def abandoned(name: str, incarnation: int, seen: str, seen_incarnation: int) -> RecoveryAbandoned:
    recovering = tuple(MemberRecord(other, seen_incarnation) for other in seen)
    group = AbandonedGroup(partition=0, epoch=1, recovering=recovering)
    return RecoveryAbandoned(member=MemberRecord(name, incarnation), groups=(group,))


class FoldTest(testtools.TestCase):
    def fold(self, *records: PlacementRecord) -> tuple[PlacementStateMachine, list[bool]]:
        fold = PlacementStateMachine(1)
        outcomes = [
            fold.apply(LogRecord(offset, RecordId(str(offset)), encode_record(record))).changed
            for offset, record in enumerate(records)
        ]
        return fold, outcomes

    def test_of_racing_changes_the_first_stands(self) -> None:
        fold, outcomes = self.fold(change(0, "abc"), change(1, "abd"), change(1, "abe"))
        self.assertEqual([True, True, False], outcomes)
        group = fold.placement.partitions[0].current
        assert group is not None
        self.assertEqual((2, ("a", "b", "d")), (group.epoch, group.names))

    def test_a_change_with_an_older_fence_is_rejected(self) -> None:
        _, outcomes = self.fold(change(0, "abc", fence=2), change(1, "abd", fence=1))
        self.assertEqual([True, False], outcomes)

    def test_malformed_records_are_rejected(self) -> None:
        fold, outcomes = self.fold(change(0, "abcd"), change(0, "aa"), change(0, ""))
        self.assertEqual([False] * 3, outcomes)
        self.assertFalse(fold.apply(LogRecord(3, RecordId("3"), b"{")).changed)

    def test_a_group_is_lost_only_once_its_members_gave_up_together(self) -> None:
        fold, _ = self.fold(change(0, "abc"), abandoned("a", 2, "b", 2))
        self.assertFalse(fold.placement.partitions[0].lost)
        fold, _ = self.fold(change(0, "abc"), abandoned("a", 2, "b", 2), abandoned("b", 2, "a", 2))
        self.assertTrue(fold.placement.partitions[0].lost)
        # b saw a later incarnation of a than the one that gave up; it may have recovered.
        fold, _ = self.fold(change(0, "abc"), abandoned("a", 2, "b", 2), abandoned("b", 3, "a", 4))
        self.assertFalse(fold.placement.partitions[0].lost)

    def test_a_lost_group_can_only_be_followed_by_one_that_forgets(self) -> None:
        lost = (change(0, "abc"), abandoned("a", 2, "b", 2), abandoned("b", 2, "a", 2))
        _, outcomes = self.fold(*lost, change(1, "abd"), change(1, "abd", forgets=True))
        self.assertEqual([False, True], outcomes[-2:])


class PlannerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fold = PlacementStateMachine(8)
        self.planner = PlacementPlanner(PlacementPlannerConfig())
        self.offset = 0

    def members(self, names: str, incarnation: int = 1) -> dict[NodeName, PlacementCandidate]:
        """Return nodes placed in the zone named by their first letter."""
        return {
            NodeName(name): PlacementCandidate(
                Incarnation(incarnation), Placement("region", name[0])
            )
            for name in names.split()
        }

    def plan(self, members: dict[NodeName, PlacementCandidate], now: float) -> bool:
        record = self.planner.plan(members, self.fold.placement, 1, now)
        if record is None:
            return False
        payload = encode_record(record)
        self.assertTrue(self.fold.apply(LogRecord(self.offset, RecordId(""), payload)).changed)
        self.offset += 1
        return True

    def run_planner(self, members: dict[NodeName, PlacementCandidate], start: float) -> None:
        for step in range(400):
            self.plan(members, start + step * 0.5)

    def groups(self) -> list[tuple[str, ...]]:
        groups = [chain.current for chain in self.fold.placement.partitions]
        return [group.names for group in groups if group is not None]

    def test_groups_span_zones_and_stay_unchanged(self) -> None:
        members = self.members("a1 a2 b1 b2 c1 c2")
        self.run_planner(members, 0.0)
        self.assertEqual(8, len(self.groups()))
        for names in self.groups():
            self.assertEqual({"a", "b", "c"}, {name[0] for name in names})
        self.assertFalse(self.plan(members, 1000.0))

    def test_a_dead_replica_is_replaced_and_only_it(self) -> None:
        self.run_planner(self.members("a1 a2 b1 b2 c1 c2"), 0.0)
        before = self.groups()
        self.run_planner(self.members("a2 b1 b2 c1 c2"), 300.0)
        for old, new in zip(before, self.groups(), strict=True):
            self.assertEqual({name for name in old if name != "a1"} - set(new), set())
            self.assertEqual({"a", "b", "c"}, {name[0] for name in new})
            self.assertNotIn("a1", new)

    def test_groups_shrink_without_spare_nodes_and_grow_again(self) -> None:
        self.run_planner(self.members("a1 b1 c1"), 0.0)
        self.run_planner(self.members("a1 b1"), 300.0)
        self.assertEqual([("a1", "b1")] * 8, [tuple(sorted(names)) for names in self.groups()])
        self.run_planner(self.members("a1 b1 c1"), 600.0)
        self.assertEqual([3] * 8, [len(names) for names in self.groups()])

    def test_a_group_without_enough_members_to_hand_over_is_forgotten_late(self) -> None:
        self.run_planner(self.members("a1 b1 c1"), 0.0)
        left = self.members("a1 a2 b2")
        for now in (300.0, 310.0, 400.0):
            self.assertFalse(self.plan(left, now))
        self.assertTrue(self.plan(left, 421.0))
        group = self.fold.placement.partitions[0].current
        assert group is not None
        self.assertTrue(group.forgets)
        self.assertFalse(group.certified)
