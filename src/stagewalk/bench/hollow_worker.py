"""A process that hosts hollow nodes and does what the coordinator says."""

from __future__ import annotations

import time
from functools import partial
from multiprocessing.connection import Connection

import anyio
import anyio.abc
import psutil

from stagewalk.bench.hollow_messages import (
    AppendRequested,
    AskSample,
    Command,
    CutLog,
    KillNode,
    RecordAppended,
    StartNodes,
    StopWorker,
    Traffic,
    WorkerSample,
)
from stagewalk.bench.hollow_node import IN, OUT, HollowNode
from stagewalk.bench.hollow_platform import HollowPlatform
from stagewalk.common.identities import ModelName
from stagewalk.node.core.instructions import AppendRecord

START_INTERVAL_SECONDS = 0.01


def run_worker(connection: Connection) -> None:
    """Run until told to stop."""
    anyio.run(partial(HollowWorker(connection).run), backend="asyncio")


class HollowWorker:
    """The nodes of one process."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._nodes: dict[str, HollowNode] = {}
        self._platform = HollowPlatform(self._append, ModelName)
        self._member_count = 0
        self._empty_resident_bytes = _resident_bytes()

    async def run(self) -> None:
        """Take commands until the last one."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._platform.pump)
            while True:
                await anyio.wait_readable(self._connection.fileno())
                command: Command = self._connection.recv()
                if isinstance(command, StopWorker):
                    tasks.cancel_scope.cancel()
                    return
                await self._obey(command, tasks)

    async def _obey(self, command: Command, tasks: anyio.abc.TaskGroup) -> None:
        match command:
            case StartNodes():
                await self._start(command, tasks)
            case RecordAppended(stream, record):
                self._platform.record_appended(stream, record)
            case CutLog(reached_by):
                for index, node in enumerate(self._nodes.values()):
                    node.reaches_log = index % reached_by == 0
            case KillNode(name):
                if name in self._nodes:
                    self._nodes.pop(name).kill()
            case AskSample():
                self._connection.send(self._sample())

    async def _start(self, command: StartNodes, tasks: anyio.abc.TaskGroup) -> None:
        self._platform.set_machines(command.machines)
        self._member_count = sum(1 for m in command.machines if m.kind == "node")
        for identity in command.identities:
            node = HollowNode(identity, self._platform)
            self._nodes[identity.name] = node
            tasks.start_soon(node.run)
            await anyio.sleep(START_INTERVAL_SECONDS)

    def _append(self, append: AppendRecord) -> None:
        requested = AppendRequested(append.stream, append.record_id, append.payload)
        self._connection.send(requested)

    def _sample(self) -> WorkerSample:
        nodes = self._nodes.values()
        counts = self._platform.counts
        return WorkerSample(
            cpu_seconds=time.process_time(),
            resident_bytes=_resident_bytes(),
            empty_resident_bytes=self._empty_resident_bytes,
            complete=sum(1 for node in nodes if node.is_complete(self._member_count)),
            traffic=Traffic(
                peer_messages_out=sum(node.messages(OUT) for node in nodes),
                peer_messages_in=sum(node.messages(IN) for node in nodes),
                peer_bytes_out=sum(node.octets(OUT) for node in nodes),
                peer_bytes_in=sum(node.octets(IN) for node in nodes),
                engine_polls=counts.engine_polls,
                machine_list_reads=counts.machine_list_reads,
                log_reads=counts.log_reads,
                appends=counts.appends,
            ),
            deaths=tuple(seen for node in nodes for seen in node.deaths),
            in_force=tuple(seen for node in nodes for seen in node.in_force),
        )


def _resident_bytes() -> int:
    return int(psutil.Process().memory_info().rss)
