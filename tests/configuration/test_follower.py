"""Followers catch up from the log or from each other, and never put an older state in force."""

from __future__ import annotations

import random

import testtools

from stagewalk.configuration.follower import (
    ConfigurationFollower,
    FollowerConfig,
    FollowerOutput,
)
from stagewalk.configuration.notifications import ConfigurationChanged
from stagewalk.configuration.records import AnyChange, encode_change
from stagewalk.core.identities import Address, Incarnation, NodeName, Placement
from stagewalk.core.instructions import MAXIMUM_DATAGRAM_BYTES, LogEvent, SendPeerMessage, Transport
from stagewalk.core.platform import LogRecord
from stagewalk.node.node_core import NodeIdentity
from tests.configuration.records import change, create, log_record, parameters

TICK_SECONDS = 0.1


class Cluster:
    """Followers that exchange messages at once, losing some datagrams."""

    def __init__(self, size: int, config: FollowerConfig | None = None, loss: float = 0.0) -> None:
        self.config = config or FollowerConfig()
        self.random = random.Random(7)
        self.loss = loss
        self.now = 0.0
        self.addresses = {
            NodeName(f"node-{n:03d}"): Address(f"10.0.{n // 250}.{n % 250}", 7000)
            for n in range(size)
        }
        self.names = {address: name for name, address in self.addresses.items()}
        self.followers = {name: self._start(name) for name in self.addresses}
        self.changes: dict[NodeName, list[ConfigurationChanged]] = {n: [] for n in self.followers}
        self.events: list[LogEvent] = []
        self.bytes_sent = 0
        self.largest_datagram = 0

    def _start(self, name: NodeName) -> ConfigurationFollower:
        identity = NodeIdentity(name, Incarnation(1), self.addresses[name], Placement("r", "z"))
        follower = ConfigurationFollower(identity, self.config, random.Random(name))
        follower.set_members(tuple(self.addresses.items()))
        return follower

    def restart(self, name: NodeName) -> None:
        self.followers[name] = self._start(name)
        self.changes[name] = []

    def carry_out(self, name: NodeName, output: list[FollowerOutput]) -> None:
        for item in output:
            if isinstance(item, ConfigurationChanged):
                self.changes[name].append(item)
            elif isinstance(item, LogEvent):
                self.events.append(item)
            else:
                self._send(name, self.names[item.address], item)

    def _send(self, sender: NodeName, receiver: NodeName, item: SendPeerMessage) -> None:
        size = item.envelope.ByteSize()
        self.bytes_sent += size
        if item.transport is Transport.DATAGRAM:
            self.largest_datagram = max(self.largest_datagram, size)
            if self.random.random() < self.loss:
                return
        follower = self.followers[receiver]
        message = item.envelope.configuration
        output = follower.handle_message(self.addresses[sender], sender, message, self.now)
        self.carry_out(receiver, output)

    def read(self, name: NodeName, records: tuple[LogRecord, ...], head: int) -> None:
        self.carry_out(name, self.followers[name].handle_records(records, self.now, head))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for name, follower in self.followers.items():
                self.carry_out(name, follower.tick(self.now))


def log_of(*changes: AnyChange) -> tuple[LogRecord, ...]:
    return tuple(log_record(n, encode_change(each)) for n, each in enumerate(changes))


LOG = log_of(create(), *(change(n, parameters(bound=n)) for n in range(1, 30)))
FIRST = NodeName("node-000")
SECOND = NodeName("node-001")


class FollowerTest(testtools.TestCase):
    def test_one_node_that_reads_the_log_is_enough_for_all(self) -> None:
        cluster = Cluster(60, loss=0.2)
        cluster.read(FIRST, LOG[:20], 20)
        cluster.run(6.0)
        cluster.read(FIRST, LOG[20:], 30)
        cluster.run(6.0)
        digests = {follower.fold.digest() for follower in cluster.followers.values()}
        self.assertEqual({cluster.followers[FIRST].fold.digest()}, digests)
        for seen in cluster.changes.values():
            offsets = [each.offset for each in seen]
            self.assertEqual(sorted(offsets), offsets)
            self.assertEqual(30, offsets[-1])

    def test_a_node_behind_the_kept_records_gets_a_snapshot(self) -> None:
        cluster = Cluster(3, FollowerConfig(relay_records=4))
        cluster.read(FIRST, LOG, 30)
        cluster.run(8.0)
        self.assertEqual([30, 30], [cluster.changes[n][-1].offset for n in (FIRST, SECOND)])
        self.assertEqual(1, len(cluster.changes[SECOND]))

    def test_nothing_is_in_force_before_the_head_is_reached(self) -> None:
        cluster = Cluster(1)
        cluster.read(FIRST, LOG[:10], 30)
        self.assertEqual([], cluster.changes[FIRST])
        self.assertFalse(cluster.followers[FIRST].current)
        cluster.read(FIRST, LOG[10:], 30)
        self.assertEqual([30], [each.offset for each in cluster.changes[FIRST]])

    def test_a_node_restarted_without_the_log_puts_only_the_newest_state_in_force(self) -> None:
        cluster = Cluster(5)
        for name in cluster.followers:
            cluster.read(name, LOG, 30)
        cluster.restart(SECOND)
        cluster.run(8.0)
        self.assertEqual([30], [each.offset for each in cluster.changes[SECOND]])

    def test_no_node_takes_peers_for_current_that_never_were(self) -> None:
        cluster = Cluster(5)
        cluster.run(20.0)
        self.assertEqual([], [each for seen in cluster.changes.values() for each in seen])

    def test_a_snapshot_from_the_log_spares_the_records_before_it(self) -> None:
        cluster = Cluster(2)
        cluster.read(FIRST, LOG, 30)
        payload = cluster.followers[FIRST].fold.snapshot()
        follower = cluster.followers[SECOND]
        self.assertEqual([], follower.handle_snapshots((log_record(0, payload),), 0.0))
        self.assertEqual(30, follower.offset)
        cluster.read(SECOND, (), 30)
        self.assertEqual([30], [each.offset for each in cluster.changes[SECOND]])

    def test_records_beyond_a_gap_are_not_folded(self) -> None:
        cluster = Cluster(1)
        cluster.read(FIRST, LOG[:3] + LOG[4:], 30)
        self.assertEqual(3, cluster.followers[FIRST].offset)

    def test_a_differing_state_is_reported(self) -> None:
        cluster = Cluster(2)
        cluster.read(FIRST, LOG[:2], 2)
        cluster.read(SECOND, log_of(create(), change(0)), 2)
        cluster.run(2.0)
        self.assertIn("configuration_digest_mismatch", {event.name for event in cluster.events})

    def test_rejections_are_logged_with_reason_and_field(self) -> None:
        cluster = Cluster(1)
        cluster.read(FIRST, log_of(create(), change(0)), 2)
        fields = cluster.events[0].fields
        self.assertEqual(("stale_revision", "base_revision"), (fields["reason"], fields["field"]))

    def test_every_node_learns_the_offsets_of_all_within_the_budget(self) -> None:
        size, seconds = 420, 10
        cluster = Cluster(size)
        for name in cluster.followers:
            cluster.read(name, LOG, 30)
        cluster.run(seconds)
        expected = dict.fromkeys(cluster.followers, 30)
        self.assertEqual(expected, cluster.followers[FIRST].member_offsets())
        self.assertLess(cluster.bytes_sent / size / seconds, 400)
        self.assertLess(cluster.largest_datagram, MAXIMUM_DATAGRAM_BYTES)
