"""Claims while replicas lose their state, groups change and messages are lost."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from stagewalk.common.errors import ErrorKind
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.notifications import ClaimDecided, ClaimUndecided
from tests.node.claims.network import Network

NODES = "abcdef"
KEYS = ("k0", "k1")
RETENTION = 100.0
QUICK = ClaimConfig(
    abandon_seconds=2.0,
    takeover_abandon_seconds=6.0,
    transfer_retry_seconds=0.3,
    retention_seconds=RETENTION,
)
ACTION = st.one_of(
    st.tuples(st.just("propose"), st.sampled_from(NODES), st.sampled_from(KEYS)),
    st.tuples(st.just("read"), st.sampled_from(NODES), st.sampled_from(KEYS)),
    st.tuples(st.just("restart"), st.sampled_from(NODES), st.just("")),
    st.tuples(st.just("down"), st.sampled_from(NODES), st.just("")),
    st.tuples(st.just("cut"), st.sampled_from(NODES), st.sampled_from(NODES)),
    st.tuples(st.just("heal"), st.just(""), st.just("")),
    st.tuples(st.just("block"), st.sampled_from(NODES), st.just("")),
    st.tuples(
        st.just("group"),
        st.lists(st.sampled_from(NODES), min_size=1, max_size=3, unique=True).map("".join),
        st.just(""),
    ),
    st.tuples(st.just("wait"), st.sampled_from(("0.1", "0.3", "1", "4")), st.just("")),
)


def act(network: Network, action: tuple[str, str, str], number: int) -> None:
    kind, first, second = action
    if kind == "propose" and first not in network.down:
        network.propose(first, second, b"%d" % number)
    elif kind == "read" and first not in network.down:
        network.read(first, second)
    elif kind == "restart":
        network.start(first)
    elif kind == "down":
        network.down.add(first)
    elif kind == "cut":
        network.cut.add(frozenset((first, second)))
    elif kind == "block":
        network.log_blocked.add(first)
    elif kind == "heal":
        network.cut.clear()
        network.log_blocked.clear()
    elif kind == "group":
        chain = network.chain()
        network.append(chain.epoch, first, forgets=chain.lost)
    elif kind == "wait":
        network.run(float(first))


class RandomFaultsTest(testtools.TestCase):
    @settings(max_examples=60)
    @given(
        actions=st.lists(ACTION, min_size=5, max_size=40),
        seed=st.integers(0, 1000),
        loss=st.sampled_from((0.0, 0.2)),
        size=st.sampled_from((3, 3, 2, 1)),
    )
    def test_never_two_values(
        self, actions: list[tuple[str, str, str]], seed: int, loss: float, size: int
    ) -> None:
        network = Network(NODES, seed, loss, QUICK)
        network.append(0, NODES[:size])
        for number, action in enumerate(actions):
            act(network, action, number)
            network.run(0.1)
        network.run(4.0)
        for key, values in network.decided.items():
            self.assertEqual(1, len(values), (key, values))
        winners = [
            (item.key, item.proposed)
            for _, item in network.ended
            if isinstance(item, ClaimDecided) and item.won
        ]
        self.assertEqual(len(winners), len(set(winners)))

    @settings(max_examples=30)
    @given(restarts=st.lists(st.sampled_from("abc"), max_size=6), seed=st.integers(0, 1000))
    def test_restarts_one_at_a_time_lose_nothing(self, restarts: list[str], seed: int) -> None:
        network = Network("abcd", seed, 0.1, QUICK)
        network.append(0, "abc")
        network.run(0.5)
        network.propose("d", "k", b"1")
        network.run(0.5)
        for number, name in enumerate(restarts):
            network.start(name)
            network.propose("d", f"new{number}", b"1")
            network.run(8.0)
            self.assertTrue(network.cores[name].ready)
        network.read("d", "k")
        for number in range(len(restarts)):
            network.read("d", f"new{number}")
        network.run(4.0)
        for key in ("k", *(f"new{number}" for number in range(len(restarts)))):
            self.assertEqual(ClaimDecided(key, b"1", False), network.results("d", key)[-1])


class GroupChangeTest(testtools.TestCase):
    def test_all_nodes_replaced_one_by_one(self) -> None:
        network = Network("abcdef")
        network.append(0, "abc")
        network.run(0.5)
        network.propose("a", "k", b"1")
        network.run(0.5)
        for epoch, (group, gone) in enumerate((("bcd", "a"), ("cde", "b"), ("def", "c")), 1):
            network.down.add(gone)
            network.append(epoch, group)
            network.run(3.0)
        network.propose("f", "k", b"2")
        network.run(0.5)
        self.assertEqual([ClaimDecided("k", b"1", False, b"2")], network.results("f", "k"))

    def test_a_replica_that_left_still_hands_over_its_state(self) -> None:
        network = Network("abcd")
        network.append(0, "abc")
        network.run(0.5)
        network.propose("a", "k", b"1")
        network.run(0.5)
        network.append(1, "abd")
        network.down.add("b")
        network.run(3.0)
        self.assertEqual([0, 1], [network.cores[name].group_count for name in "cd"])
        self.assertTrue(network.cores["d"].ready)
        network.propose("d", "k", b"2")
        network.run(0.5)
        self.assertEqual([ClaimDecided("k", b"1", False, b"2")], network.results("d", "k"))

    def test_decisions_held_already_are_not_transferred(self) -> None:
        network = Network("abcd")
        network.append(0, "abc")
        network.run(0.5)
        for number in range(5):
            network.propose("a", f"k{number}", b"v" * 3000)
        network.run(0.5)
        network.append(1, "abd")
        network.bytes_to.clear()
        network.run(3.0)
        self.assertTrue(all(network.cores[name].ready for name in "abd"))
        self.assertLess(network.bytes_to["a"], 5000)
        self.assertGreater(network.bytes_to["d"], 15000)

    def test_two_changes_read_at_once_are_applied_in_order(self) -> None:
        network = Network("abcde")
        network.append(0, "abc")
        network.run(0.5)
        network.propose("a", "k", b"1")
        network.run(0.5)
        network.append(1, "abd")
        network.append(2, "ade")
        network.run(5.0)
        network.propose("e", "k", b"2")
        network.run(0.5)
        self.assertEqual([ClaimDecided("k", b"1", False, b"2")], network.results("e", "k"))

    def test_claims_are_decided_while_the_log_is_unreachable(self) -> None:
        network = Network("abc")
        network.append(0, "abc")
        network.run(0.5)
        network.log_blocked.update("abc")
        network.append(1, "ab")
        network.start("c")
        network.run(2.0)
        network.propose("a", "k", b"1")
        network.run(0.5)
        self.assertEqual([ClaimDecided("k", b"1", True, b"1")], network.results("a", "k"))

    def test_groups_reach_nodes_that_cannot_read_the_log(self) -> None:
        network = Network("abcde")
        network.append(0, "abc")
        network.run(0.5)
        network.propose("e", "k", b"1")
        network.run(0.5)
        network.log_blocked.update("bce")
        network.append(1, "bcd")
        network.run(2.0)
        network.propose("e", "k", b"2")
        network.start("c")
        network.run(3.0)
        self.assertEqual(ClaimDecided("k", b"1", False, b"2"), network.results("e", "k")[-1])
        self.assertTrue(all(network.cores[name].ready for name in "bcd"))
        network.down.add("d")
        network.propose("c", "new", b"3")
        network.run(1.0)
        self.assertEqual([ClaimDecided("new", b"3", True, b"3")], network.results("c", "new"))

    def test_a_group_that_handed_over_decides_nothing(self) -> None:
        network = Network("abcd")
        network.append(0, "abc")
        network.run(0.5)
        network.log_blocked.update("abc")
        network.append(1, "cd")
        network.run(2.0)
        network.cut.update(frozenset(pair) for pair in ("ac", "ad", "bc", "bd"))
        network.propose("b", "k", b"1")
        network.run(4.0)
        self.assertIsInstance(network.results("b", "k")[-1], ClaimUndecided)
        network.propose("d", "k", b"2")
        network.run(3.0)  # c learns of its group from d here.
        self.assertEqual([ClaimDecided("k", b"2", True, b"2")], network.results("d", "k"))


class LossTest(testtools.TestCase):
    def lose_all_state(self) -> Network:
        network = Network("abcd", config=QUICK)
        network.append(0, "abc")
        network.run(0.5)
        network.propose("d", "old", b"1")
        network.run(0.5)
        for name in "abc":
            network.start(name)
        network.run(6.0)
        self.assertTrue(network.chain().lost)
        return network

    def test_after_a_loss_keys_are_refused_until_none_can_be_older(self) -> None:
        network = self.lose_all_state()
        network.append(1, "abc", forgets=True)
        network.run(1.0)
        network.propose("d", "old", b"2")
        network.run(0.5)
        result = network.results("d", "old")[-1]
        assert isinstance(result, ClaimUndecided)
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, result.error.kind)
        self.assertFalse(result.offered)
        assert result.error.retry_after_seconds is not None
        self.assertTrue(RETENTION - 2.0 < result.error.retry_after_seconds < RETENTION + 10.0)
        network.run(RETENTION + 10.0)
        network.propose("d", "new", b"3")
        network.run(0.5)
        self.assertEqual([ClaimDecided("new", b"3", True, b"3")], network.results("d", "new"))

    def test_renewable_keys_are_decided_anew_at_once(self) -> None:
        network = self.lose_all_state()
        network.append(1, "abc", forgets=True)
        network.run(1.0)
        network.propose("d", "slot", b"2", renewable=True)
        network.run(0.5)
        self.assertEqual([ClaimDecided("slot", b"2", True, b"2")], network.results("d", "slot"))

    def test_nobody_votes_between_a_loss_and_the_next_group(self) -> None:
        network = self.lose_all_state()
        network.propose("d", "old", b"2", renewable=True)
        network.run(4.0)
        self.assertIsInstance(network.results("d", "old")[-1], ClaimUndecided)

    def test_a_promise_without_a_vote_is_dropped_after_a_loss(self) -> None:
        """A replica with only a promise must not answer for the key after a loss of state."""
        network = Network("abcd", config=QUICK)
        network.append(0, "abc")
        network.run(0.5)
        network.cut.update({frozenset("ab"), frozenset("ac")})
        network.propose("a", "k", b"1")  # Only a itself promises.
        network.run(0.2)
        network.propose("d", "k", b"2")
        network.cut.add(frozenset("da"))
        network.run(4.0)
        self.assertEqual({b"2"}, network.decided["k"])
        network.cut.clear()
        network.start("b")
        network.start("c")
        network.run(6.0)
        self.assertTrue(network.chain().lost)
        network.append(1, "ab", forgets=True)
        network.run(1.0)
        network.propose("a", "k", b"3")
        network.run(4.0)
        self.assertEqual({b"2"}, network.decided["k"])


class PausedReplicaTest(testtools.TestCase):
    def test_a_promise_outlives_a_vote_that_lies_unread(self) -> None:
        """A late accept of a larger ballot must not take effect after a smaller one decided."""
        network = Network("abcpw", config=QUICK)
        network.append(0, "abc")
        network.run(0.5)
        network.cut.add(frozenset("wb"))
        network.propose("w", "k", b"w")
        network.deliver(5)  # a and c have promised; the accept request to c is in flight.
        late = network.in_flight_to("c")
        self.assertEqual(1, len(late))
        network.drop_all()
        network.cut.update({frozenset("wa"), frozenset("wc")})
        network.run(30.0)
        network.down.add("c")
        network.propose("p", "k", b"p")
        while "k" not in network.decided and network.now < 40.0:
            network.step()
        network.drop_all()  # Nobody learns of the decision.
        network.cut.clear()
        network.down.clear()
        network.release(late)
        network.run(0.5)
        network.down.add("b")
        network.read("a", "k")
        network.run(2.0)
        self.assertEqual(1, len(network.decided["k"]), network.decided)


class LimitsTest(testtools.TestCase):
    def test_new_keys_are_refused_over_the_limit_and_accepted_after_expiry(self) -> None:
        config = ClaimConfig(maximum_entries=2, retention_seconds=10.0)
        network = Network("abc", config=config)
        network.append(0, "abc")
        network.run(0.5)
        for key in ("k0", "k1", "k2"):
            network.propose("a", key, b"1")
            network.run(0.3)
        refused = network.results("a", "k2")[-1]
        assert isinstance(refused, ClaimUndecided)
        self.assertEqual(ErrorKind.OVER_LIMIT, refused.error.kind)
        network.propose("a", "k0", b"2")
        network.run(0.3)
        self.assertEqual(ClaimDecided("k0", b"1", False, b"2"), network.results("a", "k0")[-1])
        network.run(20.0)
        network.propose("a", "k3", b"1")
        network.run(0.3)
        self.assertEqual([ClaimDecided("k3", b"1", True, b"1")], network.results("a", "k3"))

    def test_too_long_a_value_is_refused(self) -> None:
        network = Network("a")
        network.propose("a", "k", b"1" * 5000)
        (result,) = network.results("a", "k")
        assert isinstance(result, ClaimUndecided)
        self.assertEqual(ErrorKind.INVALID_REQUEST, result.error.kind)
