"""One soak: faults for a while, then calm, then the promises over all of it."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import anyio
import anyio.abc
import httpx

from stagewalk.common.logs.lines import log_event
from tests.soak.callers import READ_SECONDS, Callers
from tests.soak.checker import Checker
from tests.soak.crashes import (
    CRASHING_BODIES,
    FRAIL_WORKERS,
    CrashCallers,
    CrashJudge,
    FrailWorker,
)
from tests.soak.ended import PROMISE, EndedBatches
from tests.soak.ending import EndingCallers
from tests.soak.faults import Faults
from tests.soak.foreign import ForeignWriter
from tests.soak.restarts import RestartSeries
from tests.soak.series import FaultSeries
from tests.soak.stops import LONG_ROUTES, LONG_SERVICES, StopScene, StopSeries
from tests.soak.touch import SOAK, TouchRecord
from tests.soak.unsendable import UnsendableBatches
from tests.soak.world import HOST, World, own_address
from tests.soak.zones import HOME_ROUTE, ZoneOperator

CALM_SECONDS = 40.0
"""How long all that was accepted may take once nothing fails any more."""

REQUESTERS = ("ask", "ask", "once")
ZONE_REQUESTERS = (HOME_ROUTE, "ask", "ask", "ask")
"""Beside the others: enough that a cold worker gets more than it withstands if all send."""

ZONE_GATEWAYS = 7
GATEWAYS = 4
ENDING_GATEWAYS = 10
"""More than hold a replica of the batches, so that roles move when gateways fall."""

ENDING_TRAINERS = 4
ASKERS = 4
"""Callers of the workers that crash, each with some 15 requests a second."""

INSPECTORS = 4
WATCHED_SECONDS = 6.0
"""How long workers are watched once the last end was acknowledged."""

TICK_SECONDS = 0.02
STALL_SECONDS = 0.3
"""A tenth of the bound: a store that answers so late is a trouble of its own."""


class Kind(StrEnum):
    """What a soak is about."""

    ALL = "all"
    """Every promise, at few gateways."""
    ENDED = "ended"
    """Batches that are ended early and handed in again, at many gateways."""
    CRASHES = "crashes"
    """Requests that crash the workers that run them, beside others."""
    ZONES = "zones"
    """Zones that are evacuated, workers that are cold, and routes with homes."""
    LOAD = "load"
    """More items than engines have places and memory for, at workers that share their machines."""
    STOPS = "stops"
    """Planned stops that overlap, beside requests that may take longer than a grace period."""
    RESTARTS = "restarts"
    """Gateways killed twice around a jump of their clocks, beside writes that are done late."""

    @property
    def in_series(self) -> bool:
        """Whether faults come in series, with calm between them."""
        return self not in (Kind.ALL, Kind.LOAD, Kind.STOPS, Kind.RESTARTS)


_ENGINE_SLOWNESS = {Kind.ENDED: 4.0, Kind.RESTARTS: 8.0}
"""Batches run for seconds: a run that doesn't hear of its batch's end is seen, and batches are open
while gateways are killed."""


class Stalls:
    """Watches how late this process, which runs store and workers, comes to what it should do."""

    def __init__(self, touch: TouchRecord) -> None:
        self._touch = touch
        self.longest = 0.0
        self.count = 0

    async def watch(self) -> None:
        """Note each stall as trouble."""
        while True:
            due = anyio.current_time() + TICK_SECONDS
            await anyio.sleep_until(due)
            late = anyio.current_time() - due
            self.longest = max(self.longest, late)
            if late > STALL_SECONDS:
                self.count += 1
                self._touch.note(SOAK, f"stalled for {late:.2f} s")


@dataclass(frozen=True)
class SoakReport:
    seed: int
    checker: Checker
    injected: dict[str, int]
    steps: int
    ended: EndedBatches
    crashes: dict[str, int]
    """Ends by what they were under, other requests served and sent, outcomes of long requests,
    entries of another writer."""
    stalls: Stalls
    troubles: list[str]
    """What failed when, a line each."""

    def lines(self) -> list[str]:
        """Return the report as text."""
        text = [f"seed {self.seed}: {self.steps} steps whole"]
        text += [f"  injected {count} x {kind}" for kind, count in sorted(self.injected.items())]
        text += [f"  {count} x {kind}" for kind, count in sorted(self.checker.outcomes.items())]
        text += [
            f"  checked {n} x {promise}" for promise, n in sorted(self.checker.checked.items())
        ]
        text += [f"  {count} {kind}" for kind, count in self.ended.counts().items()]
        text += [f"  {count} {kind}" for kind, count in self.crashes.items()]
        text.append(
            f"  {self.stalls.count} stalls of the soak, {self.stalls.longest:.2f} s at most"
        )
        text += [f"  VIOLATED {violation}" for violation in self.checker.violations]
        return text


async def soak(
    seed: int,
    seconds: float,
    directory: Path,
    gateways: int = GATEWAYS,
    kind: Kind = Kind.ALL,
    earlier: Path | None = None,
) -> SoakReport:
    """Run one soak; logs of the gateways are left in the directory."""
    # Peers that die by design make asyncio warn for each byte it can't write.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    ending = kind is Kind.ENDED
    zones = kind is Kind.ZONES
    loaded = kind is Kind.LOAD
    stopping = kind is Kind.STOPS
    world = World(
        directory,
        seed,
        gateways,
        _ENGINE_SLOWNESS.get(kind, 1.0),
        zones=zones,
        loaded=loaded,
        earlier=earlier,
        further_routes=LONG_ROUTES if stopping else (),
        further_services=LONG_SERVICES if stopping else (),
    )
    callers, stalls = Callers(world, seed), Stalls(world.touch)
    stops = StopScene(world, seed)
    faults = _faults(kind, world, seed, stops)
    operator = _operator(world, seed)
    crashes = CrashScene(world, seed)
    foreign = ForeignWriter(world.log, own_address(), world.checker.expect, seed)
    async with anyio.create_task_group() as servers:
        try:
            servers.start_soon(stalls.watch)
            await world.start(servers)
            async with anyio.create_task_group() as tasks:
                endings = EndingCallers(world, seed)
                if ending:
                    _start_endings(endings, tasks)
                for route in (*REQUESTERS, *(ZONE_REQUESTERS if zones else ())):
                    tasks.start_soon(callers.request, route)
                if operator is not None:
                    tasks.start_soon(operator.run)
                servers.start_soon(foreign.run)
                servers.start_soon(UnsendableBatches(world, seed).run)
                if kind is Kind.CRASHES:
                    crashes.start(servers, tasks)
                if stopping:
                    stops.start(servers, tasks)
                for host in world.hosts:
                    tasks.start_soon(callers.train, host)
                async with anyio.create_task_group() as trouble:
                    trouble.start_soon(faults.run)
                    await anyio.sleep(seconds)
                    faults.stop.set()
                    if operator is not None:
                        operator.stop.set()
                log_event("soak_calm", "debug", seed=seed)
                callers.stop.set()
                endings.stop.set()
                crashes.callers.stop.set()
                stops.stop.set()
            await _calm(world, callers)
            if ending:
                await anyio.sleep(WATCHED_SECONDS)
            _check_ended(world)
            world.checker.check_at_the_end()
        finally:
            with anyio.CancelScope(shield=True):
                await world.close()
            servers.cancel_scope.cancel()
    return SoakReport(
        seed,
        world.checker,
        dict(faults.injected),
        callers.steps,
        world.ended,
        (crashes.counts() if kind is Kind.CRASHES else {}) | stops.counts() | dict(foreign.written),
        stalls,
        world.touch.history,
    )


class CrashScene:
    """Frail workers and their callers, put together."""

    def __init__(self, world: World, seed: int) -> None:
        self._seed = seed
        expect = world.checker.expect
        self._judge = CrashJudge(expect, world.touch)
        fronts = {gateway.name: gateway.front for gateway in world.gateways}
        self.callers = CrashCallers(world.client, fronts, self._judge, expect, seed)
        self._workers = [
            FrailWorker(f"frail-{n}", own_address(), world.log, self._judge)
            for n in range(FRAIL_WORKERS)
        ]

    def start(self, servers: anyio.abc.TaskGroup, tasks: anyio.abc.TaskGroup) -> None:
        """Start workers, and callers that run until they are told to stop."""
        for worker in self._workers:
            servers.start_soon(worker.run, self._seed)
        for body in CRASHING_BODIES:
            tasks.start_soon(self.callers.come_back, body)
        for _ in range(ASKERS):
            tasks.start_soon(self.callers.ask)

    def counts(self) -> dict[str, int]:
        """Return counts for the report."""
        others = {
            "other requests of that service sent": self.callers.sent,
            "of them served": self.callers.served,
        }
        return self._judge.counts() | others


def _faults(
    kind: Kind, world: World, seed: int, stops: StopScene
) -> FaultSeries | Faults | StopSeries | RestartSeries:
    """Return what injects the faults of a kind of soak."""
    if kind is Kind.STOPS:
        return StopSeries(world, seed, stops)
    if kind is Kind.RESTARTS:
        return RestartSeries(world, seed)
    return FaultSeries(world, seed) if kind.in_series else Faults(world, seed)


def _operator(world: World, seed: int) -> ZoneOperator | None:
    """Return who evacuates zones, None where there is only one."""
    if world.zone_rules is None:
        return None
    return ZoneOperator(world.log, world.zone_rules, seed, world.mark_zone_cold)


def _start_endings(endings: EndingCallers, tasks: anyio.abc.TaskGroup) -> None:
    for number in range(ENDING_TRAINERS):
        tasks.start_soon(endings.train, number)
    for number in range(INSPECTORS):
        tasks.start_soon(endings.inspect, number)


def _check_ended(world: World) -> None:
    """Put each ended batch to the checker, and each sender that broke its promise."""
    world.ended.name_senders(sorted(world.directory.glob("*.log")))
    broken = {arrival.batch for arrival in world.ended.violations}
    for batch in world.ended.judged() - broken:
        world.checker.expect(PROMISE, True, batch)
    for line in world.ended.summary():
        world.checker.expect(PROMISE, False, line)


async def _calm(world: World, callers: Callers) -> None:
    """Wait until everything accepted is done and the newest configuration is in force."""
    with anyio.move_on_after(CALM_SECONDS):
        for gateway in world.gateways:
            await world.wait_ready(gateway)
        for batch, seen in world.checker.batches.items():
            while seen.accepted and not seen.ended and not seen.complete:
                await callers.read(batch, seen)
                await anyio.sleep(READ_SECONDS)
        path = f"/new-{world.configuration}/x" if world.configuration > 1 else "/ask/x"
        for gateway in world.gateways:
            while not await _serves(world, f"http://{gateway.front}{path}"):
                await anyio.sleep(READ_SECONDS)
            world.checker.expect("a configuration is in force everywhere", True, "")
        return
    world.checker.expect("everything is done once nothing fails", False, "not in time")


async def _serves(world: World, url: str) -> bool:
    headers = {"host": HOST, "x-request-id": "probe", "x-deadline-ms": "1500"}
    try:
        answer = await world.client.post(url, headers=headers)
    except httpx.HTTPError:
        return False
    return answer.status_code == httpx.codes.OK
