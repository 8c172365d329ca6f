"""A cluster of hollow nodes in a few worker processes, and the log that orders their records."""

from __future__ import annotations

import multiprocessing
import os
import time
from collections import defaultdict
from collections.abc import Callable
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess

from stagewalk.bench.hollow_layout import machine_list, node_identities
from stagewalk.bench.hollow_messages import (
    AppendRequested,
    AskSample,
    Command,
    CutLog,
    KillNode,
    RecordAppended,
    StartNodes,
    StopWorker,
    WorkerSample,
)
from stagewalk.bench.hollow_worker import run_worker
from stagewalk.common.identities import RecordId
from stagewalk.node.core.platform import LogRecord

SERVE_STEP_SECONDS = 0.1
STOP_SECONDS = 5.0

FIRST_NETWORK, NETWORKS = 90, 160
"""Second octets of loopback addresses that clusters of different processes choose among."""


class HollowCluster:
    """Starts the workers, serves their log, and asks them what they have seen.

    All nodes run on this machine, so that times of its monotonic clock compare across processes.
    """

    def __init__(self, node_count: int, worker_count: int) -> None:
        network = FIRST_NETWORK + os.getpid() % NETWORKS
        self.identities = node_identities(node_count, network)
        self._offsets: defaultdict[str, int] = defaultdict(int)
        self._processes: list[BaseProcess] = []
        self._connections: list[Connection] = []
        self._samples: dict[Connection, WorkerSample] = {}
        context = multiprocessing.get_context("spawn")
        for _ in range(worker_count):
            ours, theirs = context.Pipe()
            process = context.Process(target=run_worker, args=(theirs,), daemon=True)
            process.start()
            theirs.close()
            self._processes.append(process)
            self._connections.append(ours)

    def start_nodes(self) -> None:
        """Start all nodes, dealt out to the workers in turn."""
        machines = machine_list(self.identities)
        count = len(self._connections)
        for index, connection in enumerate(self._connections):
            connection.send(StartNodes(self.identities[index::count], machines))

    def publish(self, stream: str, payload: bytes) -> float:
        """Append a record of an operator; return when."""
        offset = self._offsets[stream]
        self._append(stream, RecordId(f"operator-{stream}-{offset}"), payload)
        return time.monotonic()

    def cut_log(self, reached_by: int) -> None:
        """Let only every so many'th node reach the log."""
        self._tell_all(CutLog(reached_by))

    def kill(self, name: str) -> float:
        """End a node without a word; return when."""
        self._tell_all(KillNode(name))
        return time.monotonic()

    def serve(self, seconds: float) -> None:
        """Serve the log for some time."""
        ends_at = time.monotonic() + seconds
        while (left := ends_at - time.monotonic()) > 0:
            self._serve_once(min(left, SERVE_STEP_SECONDS))

    def serve_until(
        self, reached: Callable[[list[WorkerSample]], bool], seconds: float, pause: float = 0.5
    ) -> bool:
        """Serve the log until the samples meet a condition; return whether they did in time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if reached(self.samples()):
                return True
            self.serve(pause)
        return False

    def samples(self) -> list[WorkerSample]:
        """Return a fresh sample of each worker."""
        self._samples.clear()
        self._tell_all(AskSample())
        while len(self._samples) < len(self._connections):
            self._serve_once(SERVE_STEP_SECONDS)
        return [self._samples[connection] for connection in self._connections]

    def stop(self) -> None:
        """End all workers."""
        self._tell_all(StopWorker())
        for process in self._processes:
            process.join(STOP_SECONDS)
            if process.is_alive():
                process.kill()

    def _serve_once(self, seconds: float) -> None:
        for connection in wait(self._connections, seconds):
            assert isinstance(connection, Connection)
            message = connection.recv()
            if isinstance(message, AppendRequested):
                self._append(message.stream, message.record_id, message.payload)
            elif isinstance(message, WorkerSample):
                self._samples[connection] = message

    def _append(self, stream: str, record_id: RecordId, payload: bytes) -> None:
        record = LogRecord(self._offsets[stream], record_id, payload)
        self._offsets[stream] += 1
        self._tell_all(RecordAppended(stream, record))

    def _tell_all(self, command: Command) -> None:
        for connection in self._connections:
            connection.send(command)
