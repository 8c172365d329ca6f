"""What a node does about facts of its own name: it outlives a dead process, whatever its clock."""

from __future__ import annotations

from dataclasses import replace

import testtools

from stagewalk.common.identities import Address, Incarnation, NodeName
from stagewalk.node.membership.incarnations import OwnFactVerdict, judge_own_fact
from stagewalk.node.membership.member_table import MemberFact
from stagewalk.node.membership.members import MemberState

HERE, ELSEWHERE = Address("10.0.0.1", 7000), Address("10.0.0.2", 7000)
OWN = MemberFact(NodeName("n"), Incarnation(10), 2, MemberState.ALIVE, HERE)


class OwnFactTests(testtools.TestCase):
    def judge(self, *, leaving: bool = False, **changes: object) -> OwnFactVerdict:
        return judge_own_fact(OWN, replace(OWN, **changes), leaving=leaving)

    def test_its_own_and_earlier_facts_are_ignored(self) -> None:
        self.assertEqual(OwnFactVerdict.IGNORE, self.judge())
        for state in MemberState:
            earlier = self.judge(incarnation=Incarnation(9), refutation=99, state=state)
            self.assertEqual(OwnFactVerdict.IGNORE, earlier)

    def test_a_wrong_fact_about_this_process_is_refuted(self) -> None:
        for state in (MemberState.SUSPECT, MemberState.DEAD):
            self.assertEqual(OwnFactVerdict.REFUTE, self.judge(state=state))

    def test_it_starts_again_above_a_dead_process_of_its_address(self) -> None:
        for address in (HERE, None):
            for state in MemberState:
                verdict = self.judge(incarnation=Incarnation(11), address=address, state=state)
                self.assertEqual(OwnFactVerdict.RESTART, verdict)

    def test_it_stops_for_a_later_process_at_another_address(self) -> None:
        verdict = self.judge(incarnation=Incarnation(11), address=ELSEWHERE)
        self.assertEqual(OwnFactVerdict.STOP, verdict)

    def test_a_leave_that_it_did_not_announce_needs_a_new_start(self) -> None:
        left = {"state": MemberState.LEFT, "refutation": 3}
        self.assertEqual(OwnFactVerdict.RESTART, self.judge(**left))
        self.assertEqual(OwnFactVerdict.IGNORE, self.judge(leaving=True, **left))
