"""What a call of a node to an engine or the platform costs over HTTP, through the real adapters."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import anyio
import httpx

from stagewalk.adapters.http_calls import open_client
from stagewalk.adapters.http_engines import HttpEngineClient
from stagewalk.adapters.http_platform import HttpLogService, HttpMachineList
from stagewalk.bench.capacity_data import UnitCost
from stagewalk.bench.hollow_layout import machine_list, node_identities
from stagewalk.bench.processes import ChildProcesses, free_address, wait_until_answering
from stagewalk.bench.slopes import fit
from stagewalk.bench.unit_timing import MICROSECONDS, CpuSlope
from stagewalk.core.identities import Address, RecordId

CALL_COUNTS = (100, 200, 400, 800)
LIST_NODES = (20, 60, 140, 280, 420)
LIST_READS = 20
STATUS_LINE_BYTES = 19
"""`HTTP/1.1 200 OK` and its line end, and the blank line after the headers."""
STREAM = "bench"


@dataclass(slots=True)
class _ByteCounter:
    """Counts octets of requests and answers: lines, headers and bodies."""

    sent: int = 0
    received: int = 0

    async def note_request(self, request: httpx.Request) -> None:
        """Count a request."""
        line = len(f"{request.method} {request.url.raw_path.decode()} HTTP/1.1\r\n\r\n")
        self.sent += line + _header_bytes(request.headers) + len(request.content)

    async def note_response(self, response: httpx.Response) -> None:
        """Count an answer."""
        body = len(await response.aread())
        self.received += STATUS_LINE_BYTES + _header_bytes(response.headers) + body


def _header_bytes(headers: httpx.Headers) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers.raw)


def measure_http(log_path: Path) -> tuple[UnitCost, ...]:
    """Return the costs of a report poll, a log read and a row of the machine list."""
    return anyio.run(partial(_measure, log_path), backend="asyncio")


async def _measure(log_path: Path) -> tuple[UnitCost, ...]:
    engine, log, machines = free_address(), free_address(), free_address()
    with ChildProcesses(log_path) as children:
        children.start_standin("engine", f"--listen={engine}", "--model=qari", "--name=qari-1")
        children.start_standin("log", f"--listen={log}")
        children.start_standin("machines", f"--listen={machines}", "--lag_seconds=0")
        wait_until_answering(f"http://{engine}/control/report")
        wait_until_answering(f"http://{log}/streams/{STREAM}/records?offset=0")
        wait_until_answering(f"http://{machines}/machines")
        poll = await _measure_poll(engine)
        read = await _measure_log_read(f"http://{log}")
        whole, row = await _measure_machine_list(f"http://{machines}")
    return poll, read, whole, row


async def _measure_poll(engine: str) -> UnitCost:
    host, port = engine.split(":")
    address = Address(host, int(port))
    counter = _ByteCounter()
    async with _counted_client(counter) as client:
        engines = HttpEngineClient(client, client)

        async def call() -> None:
            assert (await engines.report("qari-1", address)).is_ok()

        return await _measure_calls("engine_poll", "report poll", call, counter)


async def _measure_log_read(url: str) -> UnitCost:
    counter = _ByteCounter()
    async with _counted_client(counter) as client:
        log = HttpLogService(client, url)
        assert (await log.append(STREAM, RecordId("first"), b"record")).is_ok()

        async def call() -> None:
            assert (await log.read(STREAM, 0)).is_ok()

        return await _measure_calls("log_read", "read of one record", call, counter)


async def _measure_machine_list(url: str) -> tuple[UnitCost, UnitCost]:
    """Read lists of several lengths: the line's height is the call, its slope a row."""
    rows: list[float] = []
    seconds: list[float] = []
    received: list[float] = []
    sent = 0.0
    for node_count in LIST_NODES:
        counter = _ByteCounter()
        rows.append(await _fill_machine_list(url, node_count))
        async with _counted_client(counter) as client:
            machines = HttpMachineList(client, url)
            await machines.read()
            before, began = counter.received, time.process_time()
            for _ in range(LIST_READS):
                assert (await machines.read()).is_ok()
            seconds.append((time.process_time() - began) / LIST_READS)
            received.append((counter.received - before) / LIST_READS)
            sent = counter.sent / (LIST_READS + 1)
    time_line, byte_line = fit(rows, seconds), fit(rows, received)
    whole = UnitCost(
        name="machine_list_read",
        unit="read of an empty list",
        cpu_microseconds=time_line.intercept * MICROSECONDS,
        cpu_error=time_line.error_at(0) * MICROSECONDS,
        bytes_out=sent,
        bytes_in=byte_line.intercept,
    )
    row = UnitCost(
        name="machine_list_row",
        unit="row of a read",
        cpu_microseconds=time_line.slope * MICROSECONDS,
        cpu_error=time_line.slope_error * MICROSECONDS,
        bytes_in=byte_line.slope,
    )
    return whole, row


async def _fill_machine_list(url: str, node_count: int) -> int:
    machines = machine_list(node_identities(node_count))
    async with open_client(4, 4) as client:
        for machine in machines:
            body = {
                "kind": machine.kind,
                "host": machine.address.host,
                "port": machine.address.port,
                "region": machine.placement.region,
                "zone": machine.placement.zone,
                "service": machine.service,
            }
            (await client.put(f"{url}/machines/{machine.name}", json=body)).raise_for_status()
    return len(machines)


async def _measure_calls(
    name: str, unit: str, call: Callable[[], Awaitable[None]], counter: _ByteCounter
) -> UnitCost:
    await call()
    slope = CpuSlope()
    sent, received = counter.sent, counter.received
    for count in CALL_COUNTS:
        began = time.process_time()
        for _ in range(count):
            await call()
        slope.add(count, time.process_time() - began)
    calls = sum(CALL_COUNTS)
    return UnitCost(
        name=name,
        unit=unit,
        cpu_microseconds=slope.microseconds,
        cpu_error=slope.error,
        bytes_out=(counter.sent - sent) / calls,
        bytes_in=(counter.received - received) / calls,
    )


def _counted_client(counter: _ByteCounter) -> httpx.AsyncClient:
    client = open_client(4, 4)
    client.event_hooks = {
        "request": [counter.note_request],
        "response": [counter.note_response],
    }
    return client
