"""Runs a whole node with the scripted core on loopback, in the test's own process."""

from __future__ import annotations

import contextlib
import functools
import os
import random
import socket
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import httpx

from stagewalk.common.http.server import open_listener, serve_http
from stagewalk.common.identities import Address
from stagewalk.common.settings.fields import Limits
from stagewalk.node.daemon import Daemon
from stagewalk.node.node_core import NodeIdentity
from stagewalk.node.settings import DEFAULT_TIMING, NodeSettings, PlatformUrls, Timing
from tests.node.echo_core import EchoCore

NOWHERE = "http://127.0.0.1:1"
NO_LINGER_SECONDS = 0.0
PATIENCE_SECONDS = 10.0


FIRST_PORT = 20_000
PORT_RANGES = 8
PORTS_PER_RANGE = 1_500
"""Ports below the ephemeral range, divided by process id, so that concurrent test runs seldom try
the same ones."""

_recent_ports: deque[int] = deque(maxlen=256)
"""Recently returned ports, which are not returned again: they seem free until their listeners are
bound."""


def free_address() -> Address:
    """Return an address that nobody listens on and that was not returned recently."""
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_RANGE
    while True:
        port = random.randrange(first, first + PORTS_PER_RANGE)
        if port in _recent_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            _recent_ports.append(port)
            return Address("127.0.0.1", port)


def node_settings(limits: Limits, timing: Timing = DEFAULT_TIMING) -> NodeSettings:
    urls = PlatformUrls(NOWHERE, NOWHERE, NOWHERE, NOWHERE)
    listen, peer_listen = free_address(), free_address()
    return NodeSettings(
        "n1", "region", "zone", listen, peer_listen, urls, limits, "info", timing=timing
    )


@dataclass
class RunningNode:
    settings: NodeSettings
    daemon: Daemon
    core: EchoCore
    client: httpx.AsyncClient
    ended: anyio.Event

    async def post(self, path: str, body: object, **headers: str) -> httpx.Response:
        return await self.client.post(path, json=body, headers=headers)

    async def metrics(self) -> str:
        return (await self.client.get("/metrics")).text


@asynccontextmanager
async def running_node(
    limits: Limits = Limits(),  # noqa: B008
    timing: Timing = DEFAULT_TIMING,
) -> AsyncIterator[RunningNode]:
    settings = node_settings(limits, timing)
    cores: list[EchoCore] = []

    def new_core(identity: NodeIdentity, generator: random.Random) -> EchoCore:
        cores.append(EchoCore(identity, generator))
        return cores[0]

    daemon, ended = Daemon(settings, new_core), anyio.Event()

    async def run() -> None:
        await daemon.run()
        ended.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        url = f"http://{settings.listen}"
        async with httpx.AsyncClient(base_url=url, trust_env=False) as client:
            await eventually(lambda: _healthy(client))
            yield RunningNode(settings, daemon, cores[0], client, ended)
        tasks.cancel_scope.cancel()


async def _healthy(client: httpx.AsyncClient) -> bool:
    try:
        return (await client.get("/healthz")).is_success
    except httpx.TransportError:
        return False


async def eventually(condition: Callable[[], Awaitable[bool]]) -> None:
    with anyio.fail_after(PATIENCE_SECONDS):
        while not await condition():
            await anyio.sleep(0.01)


@asynccontextmanager
async def serving(app: object) -> AsyncIterator[Address]:
    """Serve an ASGI application on loopback."""
    address = free_address()
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_http, app, open_listener(address), stop, NO_LINGER_SECONDS)
        yield address
        tasks.cancel_scope.cancel()


AsyncTest = Callable[..., Awaitable[None]]


def asynchronous(test: AsyncTest) -> Callable[..., None]:
    """Turn a coroutine function into a test."""

    @functools.wraps(test)
    def run(*arguments: object) -> None:
        anyio.run(test, *arguments)

    return run


def on_node(limits: Limits = Limits()) -> Callable[[AsyncTest], Callable[..., None]]:  # noqa: B008
    """Turn a coroutine function into a test that takes a running node."""

    def decorate(test: AsyncTest) -> Callable[..., None]:
        async def run(case: object) -> None:
            async with running_node(limits) as node:
                await test(case, node)

        return functools.wraps(test)(asynchronous(run))

    return decorate
