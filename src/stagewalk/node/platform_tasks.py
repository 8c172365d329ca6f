"""Carries out the core's instructions to the platform: log, machine list, versions, scores.

Owns the running calls. Relies on the ports' clients for timeouts and on the core for repeating what
failed; a failure is logged, counted and, where the core waits for an answer, made an event.
"""

from __future__ import annotations

from dataclasses import dataclass

import anyio.abc

from stagewalk.common.errors import ExecutionStatus, StagewalkError
from stagewalk.common.logs.lines import log_event
from stagewalk.node.core.events import (
    AppendConfirmed,
    AppendFailed,
    Event,
    LogRead,
    LogReadFailed,
    MachinesRead,
    SampleScored,
    SampleScoringFailed,
    VersionsRead,
)
from stagewalk.node.core.instructions import (
    AppendRecord,
    ReadLog,
    ReadMachines,
    ReadVersions,
    ScoreSample,
)
from stagewalk.node.core.platform import MachineKind
from stagewalk.node.event_queue import EventQueue
from stagewalk.node.metrics import ServiceMetrics
from stagewalk.node.peers.peer_transport import PeerTransport
from stagewalk.node.ports.platform_services import LogService, MachineList, Scorer, WeightStore


@dataclass(frozen=True, slots=True)
class PlatformServices:
    """Clients of the platform's services."""

    log: LogService
    machines: MachineList
    weights: WeightStore
    scorer: Scorer


class PlatformTasks:
    """Runs calls to the platform as tasks and turns their outcomes into events."""

    def __init__(
        self,
        services: PlatformServices,
        events: EventQueue,
        metrics: ServiceMetrics,
        peers: PeerTransport,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._services = services
        self._events = events
        self._metrics = metrics
        self._peers = peers
        self._tasks = tasks

    def read_log(self, read: ReadLog) -> None:
        """Read a stream."""
        self._tasks.start_soon(self._read_log, read)

    def append(self, append: AppendRecord) -> None:
        """Append a record."""
        self._tasks.start_soon(self._append, append)

    def read_machines(self, read: ReadMachines) -> None:
        """Read the machine list. A failure gives no event: the core asks again by itself."""
        self._tasks.start_soon(self._read_machines)

    def read_versions(self, read: ReadVersions) -> None:
        """Read a model's versions. A failure gives no event: the core asks again by itself."""
        self._tasks.start_soon(self._read_versions, read)

    def score(self, sample: ScoreSample) -> None:
        """Score a sample."""
        self._tasks.start_soon(self._score, sample)

    async def _read_log(self, read: ReadLog) -> None:
        answer = await self._services.log.read(read.stream, read.offset, wait=read.wait)
        event: Event
        if answer.is_ok():
            event = LogRead(read.stream, answer.ok.records, answer.ok.head)
        else:
            self._record_error(answer.error)
            event = LogReadFailed(read.stream, answer.error.detail)
        await self._events.put(event)

    async def _append(self, append: AppendRecord) -> None:
        answer = await self._services.log.append(append.stream, append.record_id, append.payload)
        event: Event
        if answer.is_ok():
            event = AppendConfirmed(append.stream, append.record_id, answer.ok)
        else:
            error = answer.error
            self._record_error(error)
            unknown = error.ran is ExecutionStatus.UNKNOWN
            event = AppendFailed(append.stream, append.record_id, unknown, error.detail)
        await self._events.put(event)

    async def _read_machines(self) -> None:
        answer = await self._services.machines.read()
        if answer.is_error():
            self._record_error(answer.error)
            return
        machines = answer.ok
        if machines is None:
            return
        for machine in machines:
            if machine.kind is MachineKind.NODE:
                self._peers.learn_address(machine.name, machine.address)
        await self._events.put(MachinesRead(machines))

    async def _read_versions(self, read: ReadVersions) -> None:
        answer = await self._services.weights.versions(read.model)
        if answer.is_error():
            self._record_error(answer.error)
            return
        await self._events.put(VersionsRead(read.model, answer.ok))

    async def _score(self, sample: ScoreSample) -> None:
        answer = await self._services.scorer.score(sample)
        event: Event
        if answer.is_ok():
            event = SampleScored(sample.sample_id, answer.ok)
        else:
            self._record_error(answer.error)
            event = SampleScoringFailed(sample.sample_id, answer.error)
        await self._events.put(event)

    def _record_error(self, error: StagewalkError) -> None:
        self._metrics.count_error(error)
        log_event(
            "service_call_failed",
            "debug",
            step=error.step.value,
            peer=error.peer,
            kind=error.kind.value,
            detail=error.detail,
        )
