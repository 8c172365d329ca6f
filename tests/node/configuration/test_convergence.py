"""Concurrent changes reach all nodes, also those without the log, and offsets never decrease."""

from __future__ import annotations

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from stagewalk.common.identities import NodeName, TenantName
from stagewalk.node.configuration.records import AnyChange
from tests.node.configuration.cluster import Cluster
from tests.node.configuration.records import change, create, delete, parameters

OWNERS = {"catalogue": "archive", "transcription": "archive", "advice": "thornfield"}
PUBLISHES = 100


def raced_change(cluster: Cluster, generator: random.Random) -> AnyChange:
    """Return a change based on the revisions that a random node knows, which may be stale."""
    follower = generator.choice(list(cluster.followers.values()))
    tenant = generator.choice(sorted(OWNERS))
    partner = generator.choice([OWNERS[tenant], OWNERS[tenant], "thornfield"])
    base = follower.fold.last_revision(TenantName(tenant))
    values = parameters(generator.choice([0.2, 0.3, 0.5]), bound=generator.randrange(9))
    if TenantName(tenant) not in follower.fold.tenants:
        return create(tenant, partner, base, values)
    if generator.random() < 0.1:
        return delete(base, tenant, partner)
    return change(base, values, tenant, partner)


class ConvergenceTest(testtools.TestCase):
    def check_alike(self, cluster: Cluster) -> None:
        digests = {follower.fold.digest() for follower in cluster.followers.values()}
        offsets = {follower.offset for follower in cluster.followers.values()}
        self.assertEqual((1, {len(cluster.log)}), (len(digests), offsets))
        for seen in cluster.changes.values():
            reached = [each.offset for each in seen]
            self.assertEqual(sorted(set(reached)), reached)
        self.assertNotIn("configuration_digest_mismatch", {e.name for e in cluster.events})

    def test_concurrent_changes_are_in_force_on_all_nodes_within_ten_seconds(self) -> None:
        cluster = Cluster(60, loss=0.3)
        names = sorted(cluster.followers)
        cluster.without_log = set(names[3:])
        generator = random.Random(11)
        cluster.run(5.0)
        for _ in range(PUBLISHES):
            cluster.append(raced_change(cluster, generator))
            cluster.run(generator.choice([0.1, 0.1, 0.3]))
        cluster.run(10.0)
        self.check_alike(cluster)
        self.assertEqual({60}, {len(delays) for delays in cluster.in_force.values()})
        self.assertLess(max(max(delays) for delays in cluster.in_force.values()), 10.0)
        fold = cluster.followers[names[0]].fold
        kinds = {type(entry.outcome).__name__ for entry in fold.history}
        self.assertEqual({"ChangeAccepted", "ChangeRejected"}, kinds)

    @given(st.integers(0, 2**32))
    @settings(max_examples=15)
    def test_cuts_outages_and_restarts_never_take_a_node_back(self, seed: int) -> None:
        generator = random.Random(seed)
        cluster = Cluster(8, loss=0.2)
        names = sorted(cluster.followers)
        for _ in range(40):
            cluster.without_log = {name for name in names if generator.random() < 0.6}
            cluster.isolated = {name for name in names if generator.random() < 0.2}
            if generator.random() < 0.3:
                cluster.restart(NodeName(generator.choice(names)))
            cluster.append(raced_change(cluster, generator))
            cluster.run(generator.choice([0.2, 1.0, 4.0]))
        cluster.without_log = set(names[1:])
        cluster.isolated = set()
        cluster.run(12.0)
        self.check_alike(cluster)
