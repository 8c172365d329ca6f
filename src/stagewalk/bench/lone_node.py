"""One real node with stand-ins around it: its memory at rest, and the latency it adds.

`processes` starts the processes; `psutil` reads their memory and processor time.
"""

from __future__ import annotations

import statistics
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import anyio
import httpx
import psutil

from stagewalk.bench.capacity_data import EdgeMeasurement
from stagewalk.bench.processes import ChildProcesses, free_address, wait_until_answering
from stagewalk.common.http.calls import open_client, open_transport
from stagewalk.common.identities import ModelName, RecordId, TenantName
from stagewalk.node.adapters.http_platform import HttpLogService
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.configuration.records import CONFIGURATION_STREAM, CreateTenant, encode_change

MODEL = ModelName("qari")
TENANT = TenantName("catalogue")
IDLE_SETTLE_SECONDS = 8.0
MEGABYTE = 1024 * 1024
MAX_TOKENS = 2
WARM_UP_REQUESTS = 20
CHUNK_SECONDS = 0.005
CALL_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class IdleNode:
    """Resource use of a single node without requests."""

    resident_megabytes: float
    cpu_percent: float


@dataclass(frozen=True, slots=True)
class _Processes:
    node_pid: int
    node_url: str
    engine_url: str
    log_url: str


def measure_idle(log_path: Path, seconds: float) -> IdleNode:
    """Start a node and return its resource use at rest."""
    with ChildProcesses(log_path) as children:
        running = _start(children)
        process = psutil.Process(running.node_pid)
        time.sleep(IDLE_SETTLE_SECONDS)
        before = process.cpu_times()
        time.sleep(seconds)
        after = process.cpu_times()
        spent = after.user + after.system - before.user - before.system
        resident = process.memory_info().rss / MEGABYTE
    return IdleNode(resident, 100 * spent / seconds)


def measure_edge(log_path: Path, requests: int) -> EdgeMeasurement:
    """Time completions through a node and directly to an engine, alternately."""
    with ChildProcesses(log_path) as children:
        return anyio.run(partial(_measure_edge, _start(children), requests), backend="asyncio")


def _start(children: ChildProcesses) -> _Processes:
    log, weights, machines, scorer = (free_address() for _ in range(4))
    engine, edge, peers = (free_address() for _ in range(3))
    children.start_standin("log", f"--listen={log}")
    children.start_standin("weights", f"--listen={weights}", f"--models={MODEL}:1")
    children.start_standin("machines", f"--listen={machines}", "--lag_seconds=0")
    children.start_standin("scorer", f"--listen={scorer}")
    wait_until_answering(f"http://{machines}/machines")
    children.start_standin(
        "engine",
        f"--listen={engine}",
        f"--model={MODEL}",
        f"--service={MODEL}",
        f"--machines=http://{machines}",
        "--region=amman",
        "--zone=jabal-hall",
        f"--chunk_seconds={CHUNK_SECONDS}",
    )
    node_pid = children.start_node(
        "--name=bench",
        "--region=amman",
        "--zone=jabal-hall",
        f"--listen={edge}",
        f"--peer_listen={peers}",
        f"--log_url=http://{log}",
        f"--weights_url=http://{weights}",
        f"--machines_url=http://{machines}",
        f"--scorer_url=http://{scorer}",
    )
    wait_until_answering(f"http://{edge}/healthz")
    return _Processes(node_pid, f"http://{edge}", f"http://{engine}", f"http://{log}")


async def _measure_edge(running: _Processes, requests: int) -> EdgeMeasurement:
    async with open_transport(1, 1) as transport:
        await _publish_tenant(transport, running)
    async with open_client(4, 4) as client:
        await _wait_until_served(client, running)
        direct: list[float] = []
        through: list[float] = []
        for index in range(WARM_UP_REQUESTS + requests):
            took_direct = await _time_call(client, running.engine_url, f"direct-{index}")
            took_through = await _time_call(client, running.node_url, f"through-{index}")
            if index >= WARM_UP_REQUESTS:
                direct.append(took_direct)
                through.append(took_through)
    return EdgeMeasurement(
        requests=requests,
        direct_p50=statistics.median(direct),
        through_p50=statistics.median(through),
        direct_p99=_p99(direct),
        through_p99=_p99(through),
    )


async def _publish_tenant(transport: httpx.AsyncBaseTransport, running: _Processes) -> None:
    change = CreateTenant(
        operator="bench",
        partner="archive",
        tenant=TENANT,
        base_revision=0,
        template="rollouts",
        parameters=TenantParameters(models=(MODEL,)),
    )
    log = HttpLogService(transport, running.log_url)
    record_id = RecordId("bench-tenant")
    appended = await log.append(CONFIGURATION_STREAM, record_id, encode_change(change))
    if appended.is_error():
        raise RuntimeError(str(appended.error))


async def _wait_until_served(client: httpx.AsyncClient, running: _Processes) -> None:
    """Wait until the node answers a completion: configuration and engine are known then."""
    ends_at = time.monotonic() + CALL_SECONDS
    attempt = 0
    while time.monotonic() < ends_at:
        attempt += 1
        response = await _call(client, running.node_url, f"first-{attempt}")
        if response.status_code == httpx.codes.OK:
            return
        await anyio.sleep(0.2)
    raise TimeoutError("the node served no completion")


async def _time_call(client: httpx.AsyncClient, url: str, request_id: str) -> float:
    began = time.perf_counter()
    response = await _call(client, url, request_id)
    took = time.perf_counter() - began
    response.raise_for_status()
    return took


async def _call(client: httpx.AsyncClient, url: str, request_id: str) -> httpx.Response:
    body = {
        "model": MODEL,
        "prompt": "Read the place names of sheet 7.",
        "max_tokens": MAX_TOKENS,
        "stream": True,
        "seed": 7,
        "tenant": TENANT,
        "request_id": request_id,
    }
    return await client.post(
        f"{url}/v1/completions",
        json=body,
        headers={"X-Request-Id": request_id},
        timeout=CALL_SECONDS,
    )


def _p99(values: list[float]) -> float:
    return sorted(values)[int(0.99 * (len(values) - 1))]
