"""Claims on a stable group: one value is decided, also with a replica down."""

from __future__ import annotations

import testtools

from stagewalk.common.errors import ErrorKind
from stagewalk.node.claims.notifications import ClaimAbsent, ClaimDecided, ClaimUndecided
from tests.node.claims.network import Network


class StableGroupTest(testtools.TestCase):
    def test_first_proposal_wins_and_stays(self) -> None:
        network = Network("abcd")
        network.append(0, "abc")
        network.run(0.5)
        network.propose("d", "k", b"1")
        network.run(0.3)
        self.assertEqual([ClaimDecided("k", b"1", True, b"1")], network.results("d", "k"))
        network.propose("a", "k", b"2")
        network.run(0.3)
        self.assertEqual([ClaimDecided("k", b"1", False, b"2")], network.results("a", "k"))
        network.read("b", "k")
        network.read("b", "other")
        network.run(0.3)
        self.assertEqual([ClaimDecided("k", b"1", False)], network.results("b", "k"))
        self.assertEqual([ClaimAbsent("other")], network.results("b", "other"))

    def test_a_majority_is_enough_and_less_is_not(self) -> None:
        network = Network("abc")
        network.append(0, "abc")
        network.run(0.5)
        network.down.add("c")
        network.propose("a", "k", b"1")
        network.run(0.5)
        self.assertEqual([ClaimDecided("k", b"1", True, b"1")], network.results("a", "k"))
        network.down.add("b")
        network.propose("a", "late", b"1")
        network.run(4.0)
        (result,) = network.results("a", "late")
        assert isinstance(result, ClaimUndecided)
        self.assertEqual(ErrorKind.TIMEOUT, result.error.kind)
        self.assertFalse(result.offered)
