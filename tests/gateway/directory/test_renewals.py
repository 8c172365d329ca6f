"""All nodes without a role together write a bounded number of announcements a second."""

from __future__ import annotations

import testtools

from stagewalk.gateway.directory.node_table import FAILURE_TIMEOUT_SECONDS, NodeAnnouncement
from stagewalk.gateway.directory.renewals import (
    IDLE_RENEWALS_PER_SECOND,
    MAXIMUM_RENEWAL_INTERVAL_SECONDS,
    RENEWAL_INTERVAL_SECONDS,
    renewal_seconds,
)

TARGET_NODES = 420
READ_BYTES_PER_SECOND = 7_000
"""Above the budget of 4,000 bytes a second for a node's control traffic, which is not met yet."""

ROLES_AT_TARGET = 34
"""Six replicas, and four listed nodes in each of seven zones."""


def announcement(renewal: float) -> NodeAnnouncement:
    return NodeAnnouncement(
        "edge-jabal-hall-101",
        1_796_224_552_123,
        "10.101.101.101:8161",
        "10.101.101.101:7720",
        "jabal-hall",
        "amman",
        True,
        1_000,
        renewal_seconds=renewal,
    )


class RenewalTests(testtools.TestCase):
    def test_a_node_with_a_role_renews_often_for_any_number_of_nodes(self) -> None:
        for nodes in (1, 13, 195, 420, 5_000):
            self.assertEqual(RENEWAL_INTERVAL_SECONDS, renewal_seconds(True, nodes))

    def test_in_a_small_deployment_all_nodes_renew_equally_often(self) -> None:
        self.assertEqual(RENEWAL_INTERVAL_SECONDS, renewal_seconds(False, 13))

    def test_the_renewals_a_second_do_not_grow_with_the_nodes(self) -> None:
        for nodes in (84, 195, 420):
            rate = nodes / renewal_seconds(False, nodes)
            self.assertLessEqual(rate, IDLE_RENEWALS_PER_SECOND + 1e-9)

    def test_the_bytes_read_from_420_nodes_are_bounded(
        self,
    ) -> None:
        interval = renewal_seconds(False, TARGET_NODES)
        records = ROLES_AT_TARGET / RENEWAL_INTERVAL_SECONDS + TARGET_NODES / interval
        read = records * len(announcement(interval).encode())
        self.assertLess(read, READ_BYTES_PER_SECOND)

    def test_the_renewal_interval_has_an_upper_limit(self) -> None:
        self.assertEqual(MAXIMUM_RENEWAL_INTERVAL_SECONDS, renewal_seconds(False, 100_000))

    def test_the_failure_timeout_follows_the_renewal_interval(self) -> None:
        self.assertEqual(
            FAILURE_TIMEOUT_SECONDS, announcement(RENEWAL_INTERVAL_SECONDS).alive_seconds
        )
        self.assertLess(2 * 21.0, announcement(21.0).alive_seconds)
