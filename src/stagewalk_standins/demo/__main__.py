"""`python -m stagewalk_standins.demo`: run both deployments, inject faults, check the history.

Exits with 0 if every promise was checked and holds and every process that was not killed ended
cleanly; with 1 otherwise.
"""

from __future__ import annotations

import shutil
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import anyio.abc

from stagewalk.history.checker import check_history
from stagewalk.history.checker_oracle import FoldOracle
from stagewalk.history.observations import read_history
from stagewalk_standins.demo.deployment import Deployment, load_deployment
from stagewalk_standins.demo.operator import Operator
from stagewalk_standins.demo.processes import ProcessGroup
from stagewalk_standins.demo.tables import (
    history_files,
    progress_line,
    promise_table,
    tenant_table,
)
from stagewalk_standins.demo.topology import Topology, TopologyBuilder

DEPLOYMENT = Path("deployments/both/deployment.toml")
OUTPUT = Path("out/demo")

LOAD_SECONDS = 75.0
PROGRESS_INTERVAL_SECONDS = 5.0
SERVICES_START_SECONDS = 2.0
RESTART_DELAY_SECONDS = 4.0
LOG_OUTAGE_SECONDS = 8.0
ENGINE_KILL_AT_SECONDS = 15.0
NODE_KILL_AT_SECONDS = 25.0
LOG_OUTAGE_AT_SECONDS = 35.0
ENGINE_STOP_AT_SECONDS = 48.0
NODE_STOP_AT_SECONDS = 55.0
EXPLANATIONS_PER_PROMISE = 3

Action = Callable[[str], Awaitable[None]]


class Demonstration:
    """One run of the demonstration, from starting processes to checking their history."""

    def __init__(self, deployment: Deployment) -> None:
        if OUTPUT.exists():
            shutil.rmtree(OUTPUT)
        OUTPUT.mkdir(parents=True)
        self._deployment = deployment
        self._topology: Topology = TopologyBuilder(deployment, OUTPUT, LOAD_SECONDS).build()
        self._group = ProcessGroup(OUTPUT)
        self._operator = Operator(self._topology, self._group, OUTPUT)
        self._began_at = time.monotonic()
        self._failures: list[str] = []

    async def run(self) -> int:
        """Run everything and return the exit code."""
        try:
            async with anyio.create_task_group() as tasks:
                if await self._start(tasks):
                    await self._load(tasks)
                    await self._stop()
                tasks.cancel_scope.cancel()
        finally:
            self._group.kill_all()
        return self._judge()

    async def _start(self, tasks: anyio.abc.TaskGroup) -> bool:
        for specification in self._topology.service_processes:
            self._group.start(specification)
        await anyio.sleep(SERVICES_START_SECONDS)
        await self._operator.register_nodes()
        nodes = [node.specification for node in self._topology.nodes]
        for specification in (*self._topology.engines, *nodes):
            self._group.start(specification)
        tasks.start_soon(self._operator.probe_forever)
        if not await self._operator.wait_ready([node.name for node in nodes]):
            self._failures.append("not all nodes became ready")
            return False
        print(f"{len(self._group.running())} processes run; publishing configuration", flush=True)
        return await self._publish_tenants()

    async def _publish_tenants(self) -> bool:
        for number, name in enumerate(self._deployment.tenant_files, start=1):
            path = DEPLOYMENT.parent / name
            if not await self._operator.publish(path, _partner(path)):
                self._failures.append(f"{path} was not accepted")
                return False
            if not await self._operator.wait_applied(number):
                self._failures.append(f"{path} is not in force everywhere")
                return False
        return True

    async def _load(self, tasks: anyio.abc.TaskGroup) -> None:
        for specification in self._topology.clients:
            self._group.start(specification)
        self._began_at = time.monotonic()
        engines = [specification.name for specification in self._topology.engines]
        nodes = [node.host.name for node in self._topology.nodes]
        async with anyio.create_task_group() as faults:
            faults.start_soon(self._at, ENGINE_KILL_AT_SECONDS, self._kill, engines[0])
            faults.start_soon(self._at, NODE_KILL_AT_SECONDS, self._kill, nodes[1])
            faults.start_soon(self._at, LOG_OUTAGE_AT_SECONDS, self._log_outage, "log")
            faults.start_soon(
                self._at, ENGINE_STOP_AT_SECONDS, self._operator.restart_gracefully, engines[-1]
            )
            faults.start_soon(
                self._at, NODE_STOP_AT_SECONDS, self._operator.restart_gracefully, nodes[3]
            )
            await self._show_progress(LOAD_SECONDS)

    async def _show_progress(self, seconds: float) -> None:
        while self._elapsed() < seconds:
            await anyio.sleep(PROGRESS_INTERVAL_SECONDS)
            print(progress_line(OUTPUT, self._elapsed()), flush=True)
            for name in self._group.collect_unexpected_exits():
                self._failures.append(f"{name} ended by itself")

    async def _at(self, seconds: float, action: Action, name: str) -> None:
        await anyio.sleep(max(0.0, seconds - self._elapsed()))
        await action(name)

    async def _kill(self, name: str) -> None:
        await self._operator.kill(name, RESTART_DELAY_SECONDS)

    async def _log_outage(self, name: str) -> None:
        print(f"  {name} down for {LOG_OUTAGE_SECONDS:.0f} s", flush=True)
        await self._operator.set_log_down(LOG_OUTAGE_SECONDS)

    async def _stop(self) -> None:
        print("stopping in order", flush=True)
        clients = [specification.name for specification in self._topology.clients]
        await self._operator.stop(clients)
        await self._operator.stop([node.host.name for node in self._topology.nodes])
        await self._operator.stop([engine.name for engine in self._topology.engines])
        await self._operator.stop(self._group.running())

    def _judge(self) -> int:
        history = read_history(history_files(OUTPUT))
        verdict = check_history(history, FoldOracle())
        print(f"\n{tenant_table(history)}\n\n{promise_table(verdict)}\n", flush=True)
        self._failures += [f"never checked: {promise}" for promise in verdict.unchecked]
        for name, exit_code in sorted(self._group.bad_exits.items()):
            self._failures.append(f"{name} exited with {exit_code}")
        for explanation in verdict.explanations(EXPLANATIONS_PER_PROMISE):
            print(explanation)
        for failure in self._failures:
            print(f"FAILED: {failure}")
        return 1 if verdict.violation_count or self._failures else 0

    def _elapsed(self) -> float:
        return time.monotonic() - self._began_at


def _partner(change_file: Path) -> str:
    """Return the partner that owns a tenant, named by the folder of its deployment."""
    return change_file.resolve().parent.parent.name


def main() -> int:
    """Load the deployment and run the demonstration."""
    loaded = load_deployment(DEPLOYMENT)
    if loaded.is_error():
        print(f"{DEPLOYMENT}: {loaded.error}", file=sys.stderr)
        return 2
    return anyio.run(Demonstration(loaded.ok).run)


if __name__ == "__main__":
    sys.exit(main())
