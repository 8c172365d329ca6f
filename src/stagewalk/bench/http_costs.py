"""Measures the cost of a node's HTTP calls to an engine or the platform, with the real adapters.

Counts the bytes of the calls; the stand-in processes of `processes` answer them.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import anyio
import httpx

from stagewalk.bench.capacity_data import UnitCost
from stagewalk.bench.planned_layout import machine_list, node_identities
from stagewalk.bench.processes import ChildProcesses, free_address, wait_until_answering
from stagewalk.bench.slopes import fit
from stagewalk.bench.unit_timing import MICROSECONDS, CpuSlope
from stagewalk.common.http.calls import open_client, open_transport
from stagewalk.common.identities import Address, RecordId
from stagewalk.node.adapters.http_engines import HttpEngineClient
from stagewalk.node.adapters.http_platform import HttpLogService, HttpMachineList

CALL_COUNTS = (100, 200, 400, 800)
LIST_NODES = (20, 60, 140, 280, 420)
LIST_READS = 20
STATUS_LINE_BYTES = 19
"""`HTTP/1.1 200 OK` and its line end, and the blank line after the headers."""
STREAM = "bench"


class _CountingTransport(httpx.AsyncBaseTransport):
    """Forwards calls and counts their bytes: start lines, headers and bodies."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self._inner = open_transport(4, 4)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and read its whole answer."""
        line = len(f"{request.method} {request.url.raw_path.decode()} HTTP/1.1\r\n\r\n")
        self.sent += line + _header_bytes(request.headers) + len(request.content)
        response = await self._inner.handle_async_request(request)
        body = len(await response.aread())
        self.received += STATUS_LINE_BYTES + _header_bytes(response.headers) + body
        return response

    async def aclose(self) -> None:
        """Close the connections."""
        await self._inner.aclose()


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
    async with open_client(1, 1) as streams, _CountingTransport() as transport:
        engines = HttpEngineClient(streams, transport)

        async def call() -> None:
            assert (await engines.report("qari-1", address)).is_ok()

        return await _measure_calls("engine_poll", "report poll", call, transport)


async def _measure_log_read(url: str) -> UnitCost:
    async with _CountingTransport() as transport:
        log = HttpLogService(transport, url)
        assert (await log.append(STREAM, RecordId("first"), b"record")).is_ok()

        async def call() -> None:
            assert (await log.read(STREAM, 0)).is_ok()

        return await _measure_calls("log_read", "read of one record", call, transport)


async def _measure_machine_list(url: str) -> tuple[UnitCost, UnitCost]:
    """Fit a line to list lengths: the intercept is the cost of a call, the slope that of a row."""
    rows: list[float] = []
    seconds: list[float] = []
    received: list[float] = []
    sent = 0.0
    for node_count in LIST_NODES:
        rows.append(await _fill_machine_list(url, node_count))
        async with _CountingTransport() as transport:
            machines = HttpMachineList(transport, url)
            await machines.read()
            before, began = transport.received, time.process_time()
            for _ in range(LIST_READS):
                assert (await machines.read()).is_ok()
            seconds.append((time.process_time() - began) / LIST_READS)
            received.append((transport.received - before) / LIST_READS)
            sent = transport.sent / (LIST_READS + 1)
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
    name: str, unit: str, call: Callable[[], Awaitable[None]], counter: _CountingTransport
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
