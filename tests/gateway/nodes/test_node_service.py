"""A node's view of the others: roles, renewals, and malformed or repeated announcements."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
import msgspec
import testtools

from stagewalk.common.identities import Address, Placement
from stagewalk.gateway.directory.node_table import NodeAnnouncement, decode_announcement
from stagewalk.gateway.directory.renewals import RENEWAL_INTERVAL_SECONDS
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.nodes.own_node import OwnNode
from stagewalk.gateway.policy import DEFAULT_POLICY
from stagewalk.gateway.ports.partitioned_log import Partition
from tests.gateway.memory_log import MemoryLog, MemoryLogClient
from tests.gateway.place_shares.support import ALPHA, BETA, claims, demand
from tests.gateway.support import until

NODES = Partition("keyed.nodes", 0)
ZONES = 4


def other(number: int, incarnation: int = 1, address: str = "") -> NodeAnnouncement:
    front = address or f"10.0.0.{number}:1"
    return NodeAnnouncement(
        f"other-{number}",
        incarnation,
        front,
        front,
        f"z{number % ZONES}",
        "r1",
        True,
        1,
        ledger_replica=number < 6,
        capacity=2.0,
        listed=number < 4 * ZONES,
    )


def put(log: MemoryLog, announcement: NodeAnnouncement) -> None:
    log.put_key(NODES, announcement.node, announcement.encode())


def service(
    log: MemoryLog,
    incarnation: int = 7,
    client: MemoryLogClient | None = None,
    regions: frozenset[str] | None = None,
) -> NodeService:
    return NodeService(
        log=client or log.client(),
        partition=NODES,
        own=OwnNode(
            identity=OwnIdentity("own", incarnation),
            front=Address("10.0.1.1", 1),
            peer=Address("10.0.1.1", 2),
            placement=Placement("r1", "z1"),
            capacity=0.5,
        ),
        policy=DEFAULT_POLICY,
        batch_regions=lambda: regions,
        worker_ends=mock.Mock(owns=lambda _record: False),
    )


def run(nodes: NodeService, scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            nodes.start(tasks)
            await nodes.wait_until_settled()
            await scenario()
            tasks.cancel_scope.cancel()

    anyio.run(main)


class NodeServiceTests(testtools.TestCase):
    def test_replicas_and_relays_of_batches_stay_in_their_regions(self) -> None:
        """A relayed call may carry a batch, so it stays in allowed regions or this node's own."""
        for regions, replica, hosts in (
            (None, True, {"10.0.0.1", "10.0.0.2", "10.0.0.3"}),
            (frozenset({"r2"}), False, {"10.0.0.1", "10.0.0.2"}),
        ):
            log = MemoryLog()
            for number, region in ((1, "r1"), (2, "r2"), (3, "r3")):
                put(log, msgspec.structs.replace(other(number), region=region))
            nodes = service(log, regions=regions)

            async def scenario(
                nodes: NodeService = nodes, replica: bool = replica, hosts: set[str] = hosts
            ) -> None:
                self.assertEqual(replica, nodes.target_roles().replica)
                self.assertEqual(replica, nodes.may_hold_batches)
                peers = nodes.peers()
                self.assertEqual(
                    hosts, {peer.host for peer in (*peers.same_region, *peers.other_regions)}
                )
                held = {node.region for node in nodes.replicas()}
                self.assertEqual({"r1", "r2", "r3"} if replica else {"r2"}, held)

            run(nodes, scenario)

    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()
        self.events: list[tuple[str, dict[str, object]]] = []
        patched = mock.patch(
            "stagewalk.gateway.nodes.node_service.log_event",
            lambda event, _level="info", **fields: self.events.append((event, fields)),
        )
        patched.start()
        self.addCleanup(patched.stop)

    def announced(self) -> NodeAnnouncement | None:
        record = self.log.kept(NODES).newest.get("own")
        return None if record is None else decode_announcement(record.value)

    def logged(self, event: str) -> list[dict[str, object]]:
        return [fields for name, fields in self.events if name == event]

    def test_in_a_large_deployment_a_slow_node_has_no_role_and_renews_rarely(self) -> None:
        for number in range(194):
            put(self.log, other(number))
        nodes = service(self.log)

        async def scenario() -> None:
            roles = nodes.target_roles()
            self.assertFalse(roles.replica or roles.listed)
            nodes.set_serving(True)

            async def is_announced() -> bool:
                own = self.announced()
                return own is not None and own.serving

            await until(is_announced)
            self.assertGreater(self.announced().renewal_seconds, 9.0)

        run(nodes, scenario)

    def test_an_announcement_that_the_log_refused_is_retried_soon(self) -> None:
        """A node without a role renews so rarely that it would stay unknown for up to 30 s."""
        for number in range(194):
            put(self.log, other(number))
        client = self.log.client()
        nodes = service(self.log, client=client)

        async def scenario() -> None:
            client.faults.down = True
            nodes.target_roles()
            nodes.set_serving(True)
            await anyio.sleep(0.2)
            client.faults.down = False

            async def is_announced() -> bool:
                own = self.announced()
                return own is not None and own.serving

            with anyio.fail_after(3 * RENEWAL_INTERVAL_SECONDS):
                await until(is_announced)

        run(nodes, scenario)

    def test_claims_of_stopping_and_dead_runners_are_left_out(self) -> None:
        announced_claims = claims(demand(BETA, 30))
        put(self.log, msgspec.structs.replace(other(1), claims=announced_claims))
        put(self.log, msgspec.structs.replace(other(2), claims=announced_claims, stopping=True))
        put(self.log, msgspec.structs.replace(other(3), claims=announced_claims))
        put(self.log, other(4))
        put(self.log, msgspec.structs.replace(other(5), ledger_replica=False))
        nodes = service(self.log)

        async def scenario() -> None:
            self.assertEqual(
                [announced_claims, announced_claims, None], list(nodes.claims_of_others().claims)
            )
            self.assertFalse(nodes.claims_of_others().complete)
            with mock.patch.object(nodes.liveness, "gone", lambda process, _: process[6] in "34"):
                self.assertEqual([announced_claims], list(nodes.claims_of_others().claims))

        run(nodes, scenario)

    def test_claims_of_a_restarted_runner_count_once(self) -> None:
        put(self.log, msgspec.structs.replace(other(1), claims=claims(demand(BETA, 30))))
        nodes = service(self.log)

        async def scenario() -> None:
            later = claims(demand(BETA, 7))
            put(self.log, msgspec.structs.replace(other(1, incarnation=2), claims=later))

            async def replaced() -> bool:
                return [later] == list(nodes.claims_of_others().claims)

            await until(replaced)

        run(nodes, scenario)

    def test_a_significant_increase_of_claims_is_announced_early_and_once(self) -> None:
        nodes = service(self.log)

        async def scenario() -> None:
            nodes.set_replica(True)
            nodes.set_claims(())

            async def announced() -> bool:
                own = self.announced()
                return own is not None and own.claims == ()

            await until(announced)
            await anyio.sleep(RENEWAL_INTERVAL_SECONDS)
            began = self.announced().beat
            nodes.set_claims(claims(demand(ALPHA, 50)))

            async def is_announced() -> bool:
                return self.announced().claims == claims(demand(ALPHA, 50))

            with anyio.fail_after(RENEWAL_INTERVAL_SECONDS / 2):
                await until(is_announced)
            for items in (100, 200, 400):
                nodes.set_claims(claims(demand(ALPHA, items)))
                await anyio.sleep(0.05)
            self.assertLessEqual(self.announced().beat, began + 2)

        run(nodes, scenario)

    def test_a_node_without_a_replica_announces_no_claims(self) -> None:
        nodes = service(self.log)

        async def scenario() -> None:
            nodes.set_claims(())
            nodes.set_serving(True)

            async def is_announced() -> bool:
                own = self.announced()
                return own is not None and own.serving

            await until(is_announced)
            self.assertIsNone(self.announced().claims)

        run(nodes, scenario)

    def test_a_role_is_announced_at_once_and_renewed_often(self) -> None:
        for number in range(194):
            put(self.log, other(number))
        nodes = service(self.log)

        async def scenario() -> None:
            nodes.target_roles()
            nodes.set_listed(True)

            async def is_announced() -> bool:
                own = self.announced()
                return own is not None and own.listed

            await until(is_announced)
            self.assertEqual(RENEWAL_INTERVAL_SECONDS, self.announced().renewal_seconds)

        run(nodes, scenario)

    def test_a_node_that_died_long_before_this_start_does_not_count_as_alive(self) -> None:
        """The first view must not restart timeouts, as the first one after an outage does."""
        put(self.log, other(1))
        for beat in range(40):
            put(self.log, msgspec.structs.replace(other(2), beat=beat))
        nodes = service(self.log)

        async def scenario() -> None:
            self.assertEqual(["other-2"], [n.node for n in nodes.serving()])

        run(nodes, scenario)

    def test_an_unreadable_announcement_is_logged_and_skipped(self) -> None:
        put(self.log, other(1))
        self.log.put_key(NODES, "other-9", b"\xc1 nonsense")
        nodes = service(self.log)

        async def scenario() -> None:
            self.log.put_key(NODES, "other-8", msgspec.msgpack.encode(["other-8", "no number"]))
            put(self.log, other(2))

            async def known() -> bool:
                return {n.node for n in nodes.serving()} == {"other-1", "other-2"}

            await until(known)

        run(nodes, scenario)
        unreadable = [fields["other"] for fields in self.logged("announcement_unreadable")]
        self.assertEqual(["other-9", "other-8"], unreadable)

    def test_a_replaced_node_is_known_by_its_new_address_and_late_announcements_are_ignored(
        self,
    ) -> None:
        put(self.log, other(1, incarnation=5, address="10.0.0.1:1"))
        nodes = service(self.log)

        async def scenario() -> None:
            put(self.log, other(1, incarnation=6, address="10.0.0.99:1"))
            put(self.log, other(1, incarnation=5, address="10.0.0.1:1"))

            async def replaced() -> bool:
                return [n.front for n in nodes.serving()] == ["10.0.0.99:1"]

            await until(replaced)

        run(nodes, scenario)
        addresses = [fields["address"] for fields in self.logged("node_replaced")]
        self.assertEqual(["10.0.0.99:1"], addresses)

    def test_a_node_takes_a_higher_incarnation_than_the_one_that_is_listed(self) -> None:
        """A clock behind that of the previous start would hide this one's announcements."""
        put(self.log, NodeAnnouncement("own", 900, "10.0.9.9:1", "", "z1", "r1", True, 5))
        nodes = service(self.log, incarnation=7)

        async def scenario() -> None:
            async def is_announced() -> bool:
                own = self.announced()
                return own is not None and own.front == "10.0.1.1:1"

            await until(is_announced)

        run(nodes, scenario)
        self.assertEqual(901, self.announced().incarnation)
