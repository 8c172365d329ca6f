"""The simulated log's lost answers and outages."""

from __future__ import annotations

import random

import testtools

from stagewalk.common.identities import Placement, RecordId
from stagewalk.simulation.layout import Endpoint, Latencies
from stagewalk.simulation.log_service import LogPage, LogService
from stagewalk.simulation.network import Network
from stagewalk.simulation.virtual_time import Scheduler
from stagewalk.simulation.witness import Witness

CLIENT = Endpoint("client", Placement("r", "z"))


class LogServiceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.scheduler = Scheduler()
        network = Network(self.scheduler, {"r": Latencies(between_zones=0.001)}, random.Random(1))
        endpoint = Endpoint("log", Placement("r", "platform"))
        self.log = LogService(network, endpoint, Witness(), random.Random(1))
        self.outcomes: list[str] = []
        self.pages: list[LogPage] = []

    def append(self, record_id: str) -> None:
        self.log.append(
            CLIENT,
            "s",
            RecordId(record_id),
            b"payload",
            answered=lambda offset: self.outcomes.append(f"at {offset}"),
            failed=lambda sent: self.outcomes.append(f"failed, sent {sent}"),
        )

    def read(self, offset: int) -> None:
        self.log.read(CLIENT, "s", offset, answered=self.pages.append, failed=lambda _: None)

    def test_lost_answer_leaves_the_record_in_the_log(self) -> None:
        self.log.answer_loss_fraction = 1.0
        self.append("a")
        self.scheduler.run_until(20.0)
        self.assertEqual(["failed, sent True"], self.outcomes)
        self.assertEqual(["a"], [record.record_id for record in self.log.records("s")])

    def test_log_that_is_down_refuses_appends(self) -> None:
        self.log.down = True
        self.append("a")
        self.scheduler.run_until(20.0)
        self.assertEqual(["failed, sent False"], self.outcomes)
        self.assertEqual((), self.log.records("s"))

    def test_read_at_the_head_waits_for_a_record(self) -> None:
        self.read(0)
        self.scheduler.run_until(1.0)
        self.assertEqual([], self.pages)
        self.append("a")
        self.scheduler.run_until(1.5)
        self.assertEqual([1], [page.head for page in self.pages])
