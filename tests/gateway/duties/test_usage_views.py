"""A window's usage is not summed from a view that lacks some of the counts or plans."""

from __future__ import annotations

import time

import anyio
import testtools

from stagewalk.gateway.duties.duty_lease import DUTIES_PARTITION, LEASES_TOPIC, DutyLease
from stagewalk.gateway.duties.usage_service import PLAN_PREFIX, USAGE_PARTITION, UsageService
from stagewalk.gateway.leases.log_lease import (
    NO_FENCE,
    LeaseRecord,
    LogLease,
    PlanRecord,
    new_holder_id,
)
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.ports.partitioned_log import Partition
from stagewalk.gateway.usage.meter import window_of
from stagewalk.gateway.usage.records import UsageCounted, encode_counts
from tests.gateway.memory_duties import MemoryDuties
from tests.gateway.memory_log import MemoryLog
from tests.gateway.support import until

OLD = new_holder_id("n1", "old")
LEASES = Partition(LEASES_TOPIC, DUTIES_PARTITION)
CALL_BYTES = 100_000
WINDOW_SECONDS = 0.5
DUE_SECONDS = 4.0
DOWNTIME_SECONDS = 2.5
"""Longer than a report waits for late counts (until 2 s before it is due), and shorter than
`DUE_SECONDS`."""


class UsageViewTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()

    async def append(self, partition: Partition, payload: bytes) -> None:
        await self.log.client().append_at(partition, payload, self.log.kept(partition).end)

    async def report(self, duties: MemoryDuties, window: int) -> None:
        """Run the service in a new process on the holder's machine until it reports a window."""
        lease = DutyLease(
            log=self.log.client(),
            lease=LogLease(new_holder_id("n1", "new"), 0.0, 0.0),
            producer="new",
            call_bytes=CALL_BYTES,
        )
        usage = UsageService(
            log=self.log.client(),
            identity=OwnIdentity("n1", 2),
            duties=lease,
            client=duties,
            producer="new",
            call_bytes=CALL_BYTES,
            window_seconds=WINDOW_SECONDS,
            due_seconds=DUE_SECONDS,
        )

        async def reported() -> bool:
            return window in duties.reports

        async with anyio.create_task_group() as tasks:
            lease.start(tasks)
            usage.start(tasks)
            lease.set_following(True)
            await until(reported)
            tasks.cancel_scope.cancel()

    def test_a_restarted_holder_reports_what_was_counted_meanwhile(self) -> None:
        """Its new process may act once it holds the lease, before it has read any counts."""
        duties = MemoryDuties()
        window = window_of(time.time() - DOWNTIME_SECONDS, WINDOW_SECONDS)

        async def scenario() -> None:
            await self.append(LEASES, LeaseRecord(OLD, NO_FENCE).encode())
            plan = PlanRecord(0, f"{PLAN_PREFIX}/{window - 1}", encode_counts({"a": 1}))
            await self.append(LEASES, plan.encode())
            await self.append(USAGE_PARTITION, UsageCounted("n2", window, {"a": 3}).encode())
            await self.report(duties, window)

        anyio.run(scenario)
        self.assertEqual({"a": 3}, duties.reports[window])

    def test_a_plan_whose_acquiring_record_was_dropped_is_reported_unchanged(self) -> None:
        """All reports of a window must be equal, even if a count arrives after the first one."""
        duties = MemoryDuties()
        window = window_of(time.time() - DOWNTIME_SECONDS, WINDOW_SECONDS)

        async def scenario() -> None:
            await self.append(LEASES, LeaseRecord(OLD, NO_FENCE).encode())
            await self.append(LEASES, LeaseRecord(OLD, 0).encode())
            plan = PlanRecord(0, f"{PLAN_PREFIX}/{window}", encode_counts({"a": 3}))
            await self.append(LEASES, plan.encode())
            await self.append(USAGE_PARTITION, UsageCounted("n2", window, {"a": 4}).encode())
            self.log.drop_history(LEASES, 1)
            await self.report(duties, window)

        anyio.run(scenario)
        self.assertEqual({"a": 3}, duties.reports[window])
