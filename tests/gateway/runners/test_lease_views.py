"""No node takes or keeps the duty lease from a view that lacks some of the lease's records."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import testtools
from expression import Error, Result

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.duties.duty_lease import DUTIES_PARTITION, LEASES_TOPIC, DutyLease
from stagewalk.gateway.leases.log_lease import LEASE_SECONDS, LogLease, new_holder_id
from stagewalk.gateway.ports.partitioned_log import LogFailure, LogFault, Partition, RecordPage
from tests.gateway.memory_log import MemoryLog, MemoryLogClient

LEASES = Partition(LEASES_TOPIC, DUTIES_PARTITION)
QUIET_SECONDS = 0.3
CALL_BYTES = 100_000
TIMEOUT_SECONDS = 10.0
OBSERVATION_SECONDS = 2.0
STEP_SECONDS = 0.02

Scenario = Callable[[anyio.abc.TaskGroup], Awaitable[None]]


class NoReadsClient(MemoryLogClient):
    """A client whose reads can be refused while its appends succeed, as each has its own rate."""

    refuse_reads = False

    async def read(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[RecordPage, LogFailure]:
        if self.refuse_reads:
            await anyio.sleep(STEP_SECONDS)
            return Error(LogFailure(LogFault.REFUSED, "status 429"))
        return await super().read(partition, offset, wait_seconds)


def run(scenario: Scenario) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(tasks)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not condition():
            await anyio.sleep(STEP_SECONDS)


class LeaseViewTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryLog()

    def start(self, tasks: anyio.abc.TaskGroup, name: str, client: MemoryLogClient) -> DutyLease:
        lease = LogLease(new_holder_id(name, f"{name}-1"), QUIET_SECONDS, 0.0)
        duties = DutyLease(log=client, lease=lease, producer=f"{name}-1", call_bytes=CALL_BYTES)
        duties.start(tasks)
        duties.set_following(True)
        return duties

    async def assert_never_both(self, first: DutyLease, second: DutyLease) -> None:
        until_time = steady_seconds() + OBSERVATION_SECONDS
        while steady_seconds() < until_time:
            self.assertFalse(first.may_act() and second.may_act(), "two nodes act as the holder")
            await anyio.sleep(STEP_SECONDS)

    def test_a_lease_whose_acquisition_was_dropped_from_the_log_is_not_free(self) -> None:
        """A holder has renewed for longer than the log keeps history, and another node starts."""

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            holder = self.start(tasks, "n1", self.log.client())
            await until(holder.may_act)
            fence = holder.fence
            await until(lambda: self.log.kept(LEASES).end > fence + 2)
            self.log.drop_history(LEASES, fence + 1)
            new_node = self.start(tasks, "n2", self.log.client())
            await self.assert_never_both(holder, new_node)
            self.assertTrue(holder.may_act(), "a holder that renews lost the lease")
            self.assertFalse(new_node.held)

        run(scenario)

    def test_a_holder_that_has_not_read_whether_it_was_replaced_does_not_act(self) -> None:
        """The log accepts its renewal, though it is void after another node's acquisition."""

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            client = NoReadsClient(self.log)
            first = self.start(tasks, "n1", client)
            await until(first.may_act)
            second = self.start(tasks, "n2", self.log.client())
            client.refuse_reads = True
            client.faults.down = True
            await until(lambda: second.held)
            client.faults.down = False
            await until(second.may_act)
            await self.assert_never_both(first, second)

        run(scenario)

    def test_a_lease_that_is_not_renewed_is_taken_by_another_node(self) -> None:
        """The rules of the two tests above don't leave the lease without a holder."""

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            client = self.log.client()
            first = self.start(tasks, "n1", client)
            await until(first.may_act)
            second = self.start(tasks, "n2", self.log.client())
            client.faults.down = True
            began = steady_seconds()
            await until(second.may_act)
            self.assertGreaterEqual(steady_seconds() - began, LEASE_SECONDS - 1.0)
            self.assertFalse(first.may_act())

        run(scenario)
