"""Followers catch up from the log or from peers, and never apply an older state."""

from __future__ import annotations

import testtools

from stagewalk.common.identities import NodeName
from stagewalk.node.configuration.follower import ConfigurationFollowerConfig
from stagewalk.node.configuration.progress import ProgressTable
from stagewalk.node.configuration.records import AnyChange, encode_change
from stagewalk.node.core.instructions import MAXIMUM_DATAGRAM_BYTES
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.wire.configuration_pb2 import ConfigurationMessage
from tests.node.configuration.cluster import Cluster
from tests.node.configuration.records import change, create, log_record, parameters


def log_of(*changes: AnyChange) -> tuple[LogRecord, ...]:
    return tuple(log_record(n, encode_change(each)) for n, each in enumerate(changes))


LOG = log_of(create(), *(change(n, parameters(bound=n)) for n in range(1, 30)))
FIRST = NodeName("node-000")
SECOND = NodeName("node-001")


class FollowerTest(testtools.TestCase):
    def test_all_nodes_follow_one_node_that_reads_the_log(self) -> None:
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

    def test_node_behind_the_relay_cache_gets_a_snapshot(self) -> None:
        cluster = Cluster(3, ConfigurationFollowerConfig(relay_records=4))
        cluster.read(FIRST, LOG, 30)
        cluster.run(8.0)
        self.assertEqual([30, 30], [cluster.changes[n][-1].offset for n in (FIRST, SECOND)])
        self.assertEqual(1, len(cluster.changes[SECOND]))

    def test_nothing_is_notified_before_the_head_is_reached(self) -> None:
        cluster = Cluster(1)
        cluster.read(FIRST, LOG[:10], 30)
        self.assertEqual([], cluster.changes[FIRST])
        self.assertFalse(cluster.followers[FIRST].current)
        cluster.read(FIRST, LOG[10:], 30)
        self.assertEqual([30], [each.offset for each in cluster.changes[FIRST]])

    def test_node_restarted_without_log_notifies_only_the_newest_state(self) -> None:
        cluster = Cluster(5)
        for name in cluster.followers:
            cluster.read(name, LOG, 30)
        cluster.restart(SECOND)
        cluster.run(8.0)
        self.assertEqual([30], [each.offset for each in cluster.changes[SECOND]])

    def test_peers_that_never_were_current_are_not_trusted(self) -> None:
        cluster = Cluster(5)
        cluster.run(20.0)
        self.assertEqual([], [each for seen in cluster.changes.values() for each in seen])

    def test_snapshot_from_the_log_replaces_the_records_before_it(self) -> None:
        cluster = Cluster(2)
        cluster.read(FIRST, LOG, 30)
        payload = cluster.followers[FIRST].fold.snapshot()
        follower = cluster.followers[SECOND]
        self.assertEqual([], follower.handle_snapshots((log_record(0, payload),), 0.0))
        self.assertEqual(30, follower.offset)
        cluster.read(SECOND, (), 30)
        self.assertEqual([30], [each.offset for each in cluster.changes[SECOND]])

    def test_records_after_a_gap_are_not_applied(self) -> None:
        cluster = Cluster(1)
        cluster.read(FIRST, LOG[:3] + LOG[4:], 30)
        self.assertEqual(3, cluster.followers[FIRST].offset)

    def test_digest_mismatch_is_logged(self) -> None:
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

    def test_progress_bits_for_other_members_are_ignored(self) -> None:
        one, other = ProgressTable(FIRST), ProgressTable(FIRST)
        one.set_members((SECOND, NodeName("node-002")))
        other.set_members((NodeName("node-002"), NodeName("node-003")))
        one.record_offset(SECOND, 7)
        message = ConfigurationMessage(offset=7)
        one.write(message)
        other.read(message)
        self.assertEqual({}, other.offsets())
        other.set_members((SECOND, NodeName("node-002")))
        other.read(message)
        self.assertEqual({SECOND: 7}, other.offsets())

    def test_offsets_of_all_members_spread_within_traffic_budget(self) -> None:
        size, seconds = 420, 10
        cluster = Cluster(size)
        for name in cluster.followers:
            cluster.read(name, LOG, 30)
        cluster.run(seconds)
        expected = dict.fromkeys(cluster.followers, 30)
        self.assertEqual(expected, cluster.followers[FIRST].member_offsets())
        self.assertLess(cluster.bytes_sent / size / seconds, 400)
        self.assertLess(cluster.largest_datagram, MAXIMUM_DATAGRAM_BYTES)
