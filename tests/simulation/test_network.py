"""Partitions, impairments and streams of the simulated network."""

from __future__ import annotations

import random

import testtools

from stagewalk.common.identities import Placement
from stagewalk.simulation.layout import Endpoint, Latencies
from stagewalk.simulation.network import (
    STALL_LIMIT_SECONDS,
    Connection,
    Impairment,
    Network,
    Partition,
)
from stagewalk.simulation.virtual_time import Scheduler

HERE = Endpoint("here", Placement("r", "z1"))
THERE = Endpoint("there", Placement("r", "z2"))
ONE_WAY = Partition(frozenset({"here"}), frozenset({"there"}))


class NetworkTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.scheduler = Scheduler()
        latencies = {"r": Latencies(between_zones=0.001)}
        self.network = Network(self.scheduler, latencies, random.Random(1))
        self.arrived: list[int] = []
        self.lost: list[str] = []

    def send(self, number: int) -> None:
        self.network.send_datagram(HERE, THERE, lambda: self.arrived.append(number))

    def connect(self) -> Connection:
        return Connection(
            self.network,
            HERE,
            THERE,
            client_lost=lambda by_network: self.lost.append(f"client {by_network}"),
            server_lost=lambda by_network: self.lost.append(f"server {by_network}"),
        )

    def test_one_way_partition_blocks_one_direction_only(self) -> None:
        self.network.begin_partition(ONE_WAY)
        self.send(1)
        self.network.send_datagram(THERE, HERE, lambda: self.arrived.append(2))
        self.scheduler.run_until(1.0)
        self.network.end_partition(ONE_WAY)
        self.send(3)
        self.scheduler.run_until(2.0)
        self.assertEqual([2, 3], self.arrived)

    def test_impairments_lose_duplicate_and_reorder(self) -> None:
        worse = Impairment(loss_fraction=0.2, duplicate_fraction=0.2, reorder_fraction=0.3)
        self.network.begin_impairment(worse)
        for number in range(300):
            self.send(number)
        self.scheduler.run_until(1.0)
        self.assertTrue(200 < len(set(self.arrived)) < 280)
        self.assertGreater(len(self.arrived), len(set(self.arrived)))
        self.assertNotEqual(sorted(self.arrived), self.arrived)

    def test_stream_keeps_order_over_a_short_partition(self) -> None:
        connection = self.connect()
        connection.send_to_server(lambda: self.arrived.append(1))
        self.network.begin_partition(ONE_WAY)
        connection.send_to_server(lambda: self.arrived.append(2))
        self.scheduler.run_until(STALL_LIMIT_SECONDS / 2)
        self.network.end_partition(ONE_WAY)
        connection.send_to_server(lambda: self.arrived.append(3))
        self.scheduler.run_until(STALL_LIMIT_SECONDS * 2)
        self.assertEqual([1, 2, 3], self.arrived)
        self.assertEqual([], self.lost)

    def test_stream_breaks_over_a_long_partition(self) -> None:
        connection = self.connect()
        self.network.begin_partition(ONE_WAY)
        connection.send_to_server(lambda: self.arrived.append(1))
        self.scheduler.run_until(STALL_LIMIT_SECONDS + 1.0)
        self.assertEqual([], self.arrived)
        self.assertEqual(["client True", "server True"], self.lost)

    def test_messages_sent_before_a_server_crash_still_arrive(self) -> None:
        connection = self.connect()
        connection.send_to_client(lambda: self.arrived.append(1))
        connection.server_gone()
        self.scheduler.run_until(1.0)
        self.assertEqual([1], self.arrived)
        self.assertEqual(["client False"], self.lost)
