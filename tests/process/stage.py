"""Runs a scenario against a system of real processes and checks the recorded history."""

from __future__ import annotations

import os
import shutil
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import httpx
import msgspec
import testtools
from testtools.content import text_content

from stagewalk.history.checker import check_history
from stagewalk.history.checker_oracle import FoldOracle
from stagewalk.history.checker_verdict import Promise, Verdict
from stagewalk.history.observations import (
    AnyObservation,
    FaultInjected,
    ProcessKilled,
    RecordAppended,
    read_history,
)
from stagewalk.node.claims.placement import PLACEMENT_STREAM
from stagewalk_standins.demo.operator import Operator
from stagewalk_standins.demo.processes import ProcessGroup, ProcessSpecification
from stagewalk_standins.demo.tables import history_files
from stagewalk_standins.forwarder import LinkView
from stagewalk_standins.forwarder_faults import LinkCounts, LinkFaults
from tests.process.layout import MODEL, WEIGHT_BYTES, Layout, Plan

ROOT = Path(__file__).resolve().parents[2]
CONFIGURATION = Path(__file__).parent / "configuration"
CLOCK_AHEAD = ROOT / "tests" / "clock_ahead.py"
START_SECONDS = 20.0
POLL_SECONDS = 0.05
WHOLE_TEST_SECONDS = 110.0
"""Limit for hanging scenarios, far above the usual duration."""
EXPLANATIONS_PER_PROMISE = 3
KEEP_RUNS = "STAGEWALK_KEEP_RUNS" in os.environ
"""If set, passing tests also keep their histories and logs in `out/process`."""

Scenario = Callable[["Stage"], Awaitable[None]]


class Stage:
    """The processes of one test, and the actions available to a scenario."""

    def __init__(self, plan: Plan, directory: Path) -> None:
        self.plan = plan
        self.directory = directory
        layout = Layout(plan, directory)
        self.topology = layout.topology()
        self._forwarder = layout.forwarder_process()
        self._control_url = f"{layout.forwarder.url}/control/links"
        self.group = ProcessGroup(directory)
        self.operator = Operator(self.topology, self.group, directory, _discard_announcement)
        self.node_names = [node.host.name for node in self.topology.nodes]
        self.engine_names = [engine.name for engine in self.topology.engines]
        self.caller_names = [
            client.name for client in self.topology.clients if client.name != "trainer"
        ]
        self._http = httpx.AsyncClient(timeout=5.0, trust_env=False)
        self._incarnations: dict[str, int] = {}
        self._began_at = 0.0

    async def start(self) -> None:
        """Start all processes but the clients, and publish the tenants."""
        for specification in (*self.topology.service_processes, self._forwarder):
            self.group.start(specification)
        for name in self.topology.services:
            await self._wait_answering(f"{self.topology.services[name].url}/control/faults")
        await self._wait_answering(f"{self._control_url}/{self.engine_names[0]}")
        await self.operator.register_nodes()
        nodes = [node.specification for node in self.topology.nodes]
        for specification in (*self.topology.engines, *nodes):
            self.group.start(specification)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.publish, "advice", "growers")
            tasks.start_soon(self.publish, "policy", "archive")

    async def wait_ready(self) -> None:
        """Wait until every node serves both partners' tenants."""
        if not await self.operator.wait_ready(self.node_names):
            raise AssertionError("not every node became ready")
        if not await self.operator.wait_applied(2):
            raise AssertionError("the tenants are not in force everywhere")
        self._incarnations = {
            name: status.incarnation for name, status in self.operator.statuses.items()
        }
        await self.eventually(self._replicas_placed, "replicas of claims", START_SECONDS)

    async def publish(self, tenant: str, partner: str) -> bool:
        """Publish a tenant's file by its partner's operator."""
        return await self.operator.publish(CONFIGURATION / "tenants" / f"{tenant}.toml", partner)

    async def publish_version(self, version: int) -> None:
        """Put a version into the weight store, as another trainer of the model would."""
        url = f"{self.topology.services['weights'].url}/models/{MODEL}/versions/{version}"
        await self._http.put(url, json={"size_bytes": WEIGHT_BYTES})

    def holder(self, duty: str) -> str:
        """Return the node that reports the newest lease for a duty, or an empty string."""
        statuses = self.operator.statuses.values()
        held = [(each.leases[duty], each.name) for each in statuses if duty in each.leases]
        return max(held)[1] if held else ""

    async def start_clients(self) -> None:
        """Start the clients; `at` counts from this time."""
        for specification in self.topology.clients:
            self.group.start(specification)
        self._began_at = time.monotonic()

    async def at(self, seconds: float) -> None:
        """Wait until a number of seconds after the start of the clients."""
        await anyio.sleep(max(0.0, self._began_at + seconds - time.monotonic()))

    async def eventually(self, condition: Callable[[], bool], what: str, seconds: float) -> None:
        """Poll a condition and fail on timeout."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(f"timed out waiting for {what}")
            await anyio.sleep(POLL_SECONDS)

    async def set_link(self, name: str, faults: LinkFaults = LinkFaults()) -> None:  # noqa: B008
        """Set the faults of a link; none by default."""
        answer = await self._http.put(
            f"{self._control_url}/{name}", content=msgspec.json.encode(faults)
        )
        answer.raise_for_status()

    def peer_pairs(self) -> list[str]:
        """Return the links of datagrams between nodes."""
        names = self.node_names
        return [f"{sender}:{other}" for sender in names for other in names if sender != other]

    async def link_counts(self, name: str) -> LinkCounts:
        """Return the counters of a link."""
        answer = await self._http.get(f"{self._control_url}/{name}")
        return msgspec.json.decode(answer.raise_for_status().content, type=LinkView).counts

    async def set_service(self, name: str, **faults: bool | float | int) -> None:
        """Set the faults of one of the platform's services."""
        url = f"{self.topology.services[name].url}/control/faults"
        (await self._http.put(url, json=faults)).raise_for_status()

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.operator.observe(ProcessKilled(at=time.monotonic(), process=name))
        self.group.kill(name)

    def start_again(self, name: str, clock_ahead_seconds: float = 0.0) -> None:
        """Start a process that was killed or stopped; a caller sends the same requests again.

        The process's time of day may be ahead.
        """
        everything = (
            *self.topology.service_processes,
            *self.topology.engines,
            *(node.specification for node in self.topology.nodes),
            *self.topology.clients,
        )
        specification = next(each for each in everything if each.name == name)
        if name in self.caller_names:
            command = (*specification.command, "--resent")
            specification = ProcessSpecification(name, command)
        if clock_ahead_seconds > 0.0:
            python, *program = specification.command
            ahead = (python, str(CLOCK_AHEAD), str(clock_ahead_seconds))
            specification = ProcessSpecification(name, (*ahead, *program))
        self.group.start(specification)

    async def ready_again(self, name: str) -> None:
        """Wait until a restarted node reports ready."""
        await self.eventually(lambda: self._is_ready_again(name), f"{name} again", START_SECONDS)

    def _is_ready_again(self, name: str) -> bool:
        status = self.operator.statuses.get(name)
        if status is None or not status.ready or status.incarnation <= self._incarnations[name]:
            return False
        self._incarnations[name] = status.incarnation
        return True

    @asynccontextmanager
    async def paused(self, name: str) -> AsyncIterator[None]:
        """Suspend a process with SIGSTOP inside the context."""
        started_at = time.monotonic()
        self.group.send_signal(name, signal.SIGSTOP)
        try:
            yield
        finally:
            self.group.send_signal(name, signal.SIGCONT)
            self.operator.observe(
                FaultInjected(at=started_at, kind="pause", target=name, until=time.monotonic())
            )

    async def finish(self) -> None:
        """Wait for the callers, then stop the trainer, then all nodes and engines."""
        await anyio.to_thread.run_sync(self._wait_callers)
        self.group.collect_unexpected_exits()
        await self.operator.stop(["trainer"])
        await self.operator.stop([*self.node_names, *self.engine_names])

    def history(self) -> list[AnyObservation]:
        """Return all observations so far."""
        return read_history(history_files(self.directory))

    def close(self) -> None:
        """Kill the remaining processes."""
        for name in self.group.running():
            self.group.send_signal(name, signal.SIGCONT)
        self.group.kill_all()

    def _replicas_placed(self) -> bool:
        records = read_history([self.directory / "log.history"])
        return any(
            isinstance(each, RecordAppended) and each.stream == PLACEMENT_STREAM for each in records
        )

    def _wait_callers(self) -> None:
        timeout_seconds = self.plan.load_seconds + 3 * self.plan.deadline_seconds
        for name in self.caller_names:
            self.group.wait(name, timeout_seconds)

    async def _wait_answering(self, url: str) -> None:
        deadline = time.monotonic() + START_SECONDS
        while True:
            try:
                await self._http.get(url)
                return
            except httpx.TransportError:
                if time.monotonic() > deadline:
                    raise
                await anyio.sleep(POLL_SECONDS)


class ProcessTest(testtools.TestCase):
    """Base of tests that run a scenario."""

    def play(self, scenario: Scenario, plan: Plan) -> Stage:
        """Run a scenario under load and wait until its processes have ended."""
        directory = ROOT / "out" / "process" / self.id().rsplit(".", 1)[-1] / str(time.time_ns())
        directory.mkdir(parents=True)
        failed = []
        self.addOnException(lambda _: failed.append(True))
        self.addCleanup(lambda: KEEP_RUNS or failed or shutil.rmtree(directory))
        stage = Stage(plan, directory)
        self.addCleanup(stage.close)
        anyio.run(_play, stage, scenario)
        self.assertEqual({}, stage.group.bad_exits)
        return stage

    def judge(self, stage: Stage, *promises: Promise) -> Verdict:
        """Assert that no promise was violated and that the named ones were checked."""
        verdict = check_history(stage.history(), FoldOracle())
        self.addDetail("verdict", text_content(verdict.table()))
        self.assertEqual("", "\n".join(verdict.explanations(EXPLANATIONS_PER_PROMISE)))
        self.assertEqual([], [each for each in promises if verdict.checked[each] == 0])
        return verdict


async def _play(stage: Stage, scenario: Scenario) -> None:
    with anyio.fail_after(WHOLE_TEST_SECONDS):
        async with anyio.create_task_group() as tasks:
            await stage.start()
            tasks.start_soon(stage.operator.probe_forever)
            await stage.wait_ready()
            await stage.start_clients()
            await scenario(stage)
            await stage.finish()
            tasks.cancel_scope.cancel()


def _discard_announcement(text: str) -> None:
    """Ignore an announcement of the operator."""
