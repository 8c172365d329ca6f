"""Operator of the demonstration: publishes configuration, probes nodes and injects faults.

Records its actions and the status of nodes in its own history, which the checker reads.
"""

from __future__ import annotations

import re
import sys
import time
from collections.abc import Callable
from pathlib import Path

import anyio
import httpx
import msgspec

from stagewalk.history.observations import (
    AnyObservation,
    ConfigurationSeen,
    FaultInjected,
    PlannedStopBegan,
    ProcessKilled,
    PublishAnswered,
)
from stagewalk_standins.demo.processes import ProcessGroup
from stagewalk_standins.demo.topology import Host, NodeProcess, Topology
from stagewalk_standins.history_file import HistoryFile

PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 1.0
READY_TIMEOUT_SECONDS = 30.0
RECORD_ID = re.compile(r"\brecord_id=(\S+)")


def _print_line(text: str) -> None:
    print(text, flush=True)


class ProbedStatus(msgspec.Struct, frozen=True):
    """Fields of `GET /control/status` that the operator uses."""

    name: str
    incarnation: int
    ready: bool
    configuration_offset: int
    configuration_digest: str
    revisions: dict[str, int]
    leases: dict[str, int] = {}


class Operator:
    """Performs the actions of the partners' operators and of the platform's tools.

    Parameters
    ----------
    directory
        Directory of its history.
    announce
        Called with one line of text for each action.
    """

    def __init__(
        self,
        topology: Topology,
        group: ProcessGroup,
        directory: Path,
        announce: Callable[[str], None] = _print_line,
    ) -> None:
        self._topology = topology
        self._group = group
        self._announce = announce
        self._history = HistoryFile(directory / "operator.history")
        self._client = httpx.AsyncClient(timeout=PROBE_TIMEOUT_SECONDS)
        self.statuses: dict[str, ProbedStatus] = {}

    async def register_nodes(self) -> None:
        """Register the nodes with the platform's machine list."""
        machines = self._topology.services["machines"].url
        for node in self._topology.nodes:
            body = _machine_entry(node)
            answer = await self._client.put(f"{machines}/machines/{node.host.name}", json=body)
            answer.raise_for_status()

    async def probe_forever(self) -> None:
        """Poll every node's status until cancelled."""
        while True:
            async with anyio.create_task_group() as tasks:
                for node in self._topology.nodes:
                    tasks.start_soon(self._probe, node.host)
            await anyio.sleep(PROBE_INTERVAL_SECONDS)

    async def wait_ready(self, names: list[str]) -> bool:
        """Wait until nodes report ready; return False on timeout."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            statuses = [self.statuses.get(name) for name in names]
            if all(status is not None and status.ready for status in statuses):
                return True
            await anyio.sleep(PROBE_INTERVAL_SECONDS)
        return False

    async def wait_applied(self, offset: int) -> bool:
        """Wait until all nodes have applied the configuration log up to an offset."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        names = [node.host.name for node in self._topology.nodes]
        while time.monotonic() < deadline:
            statuses = [self.statuses.get(name) for name in names]
            if all(s is not None and s.configuration_offset >= offset for s in statuses):
                return True
            await anyio.sleep(PROBE_INTERVAL_SECONDS)
        return False

    async def publish(self, change: Path, partner: str) -> bool:
        """Publish a change file with `stagewalk config publish`; return whether it was accepted."""
        command = [
            sys.executable,
            "-m",
            "stagewalk",
            "config",
            "publish",
            str(change),
            f"--log={self._topology.services['log'].url}",
            f"--operator={partner}-operator",
            f"--partner={partner}",
        ]
        completed = await anyio.run_process(command, check=False, stderr=None)
        answer = completed.stdout.decode().strip()
        self._announce(f"  config publish {change.name}: {answer}")
        self._observe_publish(f"{partner}-operator", completed.returncode == 0, answer)
        return completed.returncode == 0

    async def set_log_down(self, seconds: float) -> None:
        """Make the log unavailable for some seconds."""
        self.observe(
            FaultInjected(at=_now(), kind="log_down", target="log", until=_now() + seconds)
        )
        await self._set_log_faults(down=True)
        await anyio.sleep(seconds)
        await self._set_log_faults(down=False)

    async def kill(self, name: str, down_seconds: float) -> None:
        """Kill a process and start it again some seconds later."""
        self._announce(f"  SIGKILL {name}")
        self.observe(ProcessKilled(at=_now(), process=name))
        specification = self._group.kill(name)
        await anyio.sleep(down_seconds)
        self._group.start(specification)

    async def restart_gracefully(self, name: str) -> None:
        """Stop a process gracefully, then start it again."""
        self._announce(f"  SIGTERM {name}")
        specification = self._group.specification(name)
        await self.stop([name])
        self._group.start(specification)

    async def stop(self, names: list[str]) -> None:
        """Stop processes gracefully."""
        for name in names:
            self.observe(PlannedStopBegan(at=_now(), process=name))
        await anyio.to_thread.run_sync(self._group.stop, names)

    def observe(self, observation: AnyObservation) -> None:
        """Append an observation to the operator's history."""
        self._history.write(observation)

    def _observe_publish(self, operator: str, accepted: bool, answer: str) -> None:
        """Record the command's result, if its output names a record id."""
        record = RECORD_ID.search(answer)
        if record is None:
            return
        self.observe(
            PublishAnswered(
                at=_now(),
                operator=operator,
                record_id=record.group(1),
                accepted=accepted,
                detail=answer,
            )
        )

    async def _set_log_faults(self, down: bool) -> None:
        log = self._topology.services["log"].url
        await self._client.put(f"{log}/control/faults", json={"down": down})

    async def _probe(self, host: Host) -> None:
        try:
            answer = await self._client.get(f"{host.url}/control/status")
            status = msgspec.json.decode(answer.content, type=ProbedStatus)
        except (httpx.HTTPError, msgspec.DecodeError):
            return
        self.statuses[host.name] = status
        self.observe(
            ConfigurationSeen(
                at=_now(),
                node=status.name,
                incarnation=status.incarnation,
                offset=status.configuration_offset,
                digest=status.configuration_digest,
                revisions=status.revisions,
            )
        )


def _machine_entry(node: NodeProcess) -> dict[str, str | int]:
    address, _, port = node.peer_address.rpartition(":")
    return {
        "kind": "node",
        "host": address,
        "port": int(port),
        "region": node.host.region,
        "zone": node.host.zone,
        "state": "live",
        "service": "stagewalk",
    }


def _now() -> float:
    return time.monotonic()
