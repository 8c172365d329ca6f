import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement
from stagewalk.node.membership.member_table import MemberFact, MemberTable
from stagewalk.node.membership.members import MemberState, MemberStatus

FACTS = st.builds(
    MemberFact,
    name=st.sampled_from([NodeName("a"), NodeName("b"), NodeName("c")]),
    incarnation=st.integers(1, 3).map(Incarnation),
    refutation=st.integers(0, 2),
    state=st.sampled_from(list(MemberState)[:3]),
    address=st.just(Address("10.0.0.1", 7000)),
    placement=st.just(Placement("r", "z")),
    status=st.integers(0, 5).map(MemberStatus),
)


def fill(facts: list[MemberFact]) -> MemberTable:
    table = MemberTable()
    for fact in facts:
        table.apply(fact, 0.0)
    return table


def ranks(table: MemberTable) -> list[tuple[str, tuple[int, int, int]]]:
    return [(fact.name, fact.rank) for fact in table.facts()]


class MemberTableTest(testtools.TestCase):
    @given(st.lists(FACTS, max_size=12), st.randoms(use_true_random=False))
    def test_order_and_repetition_of_facts_do_not_matter(
        self, facts: list[MemberFact], generator: random.Random
    ) -> None:
        shuffled = facts + facts[:3]
        generator.shuffle(shuffled)
        one, other = fill(facts), fill(shuffled)
        self.assertEqual(ranks(one), ranks(other))
        self.assertEqual(one.digest, other.digest)

    @given(st.lists(FACTS, max_size=12))
    def test_members_are_those_alive_or_suspect(self, facts: list[MemberFact]) -> None:
        table = fill(facts)
        expected = [
            fact.name
            for fact in table.facts()
            if fact.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]
        self.assertEqual(expected, [member.name for member in table.members()])
        ended = [fact.name for fact in table.ended()]
        self.assertEqual(sorted(expected + ended), [fact.name for fact in table.facts()])

    def test_status_offset_of_a_process_never_decreases(self) -> None:
        place = {"address": Address("10.0.0.1", 7000), "placement": Placement("r", "z")}
        table = MemberTable()
        for offset in (4, 9, 7):
            fact = MemberFact(
                NodeName("a"),
                Incarnation(1),
                0,
                MemberState.ALIVE,
                status=MemberStatus(offset),
                **place,
            )
            table.apply(fact, 0.0)
        self.assertEqual(9, table.members()[0].status.configuration_offset)

    def test_dead_members_are_removed_after_their_retention(self) -> None:
        table = MemberTable()
        table.apply(MemberFact(NodeName("a"), Incarnation(1), 0, MemberState.DEAD), 10.0)
        table.forget_ended_before(10.0)
        self.assertEqual(1, len(table.ended()))
        table.forget_ended_before(10.5)
        self.assertEqual([], table.ended())
