"""One soak: faults for a while, then calm, then the promises over all of it."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from pathlib import Path

import anyio
import httpx

from stagewalk.logs.lines import log_event
from tests.soak.callers import READ_SECONDS, Callers
from tests.soak.checker import Checker
from tests.soak.faults import Faults
from tests.soak.world import HOST, World

CALM_SECONDS = 40.0
"""How long all that was accepted may take once nothing fails any more."""

REQUESTERS = ("ask", "ask", "once")
GATEWAYS = 4


@dataclass(frozen=True)
class SoakReport:
    seed: int
    checker: Checker
    injected: dict[str, int]
    steps: int

    def lines(self) -> list[str]:
        """Return the report as text."""
        text = [f"seed {self.seed}: {self.steps} steps whole"]
        text += [f"  injected {count} x {kind}" for kind, count in sorted(self.injected.items())]
        text += [f"  {count} x {kind}" for kind, count in sorted(self.checker.outcomes.items())]
        text += [
            f"  checked {n} x {promise}" for promise, n in sorted(self.checker.checked.items())
        ]
        text += [f"  VIOLATED {violation}" for violation in self.checker.violations]
        return text


async def soak(seed: int, seconds: float, directory: Path, gateways: int = GATEWAYS) -> SoakReport:
    """Run one soak; logs of the gateways are left in the directory."""
    # Peers that die by design make asyncio warn for each byte it can't write.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    world = World(directory, seed, gateways)
    callers, faults = Callers(world, seed), Faults(world, seed)
    async with anyio.create_task_group() as servers:
        try:
            await world.start(servers)
            async with anyio.create_task_group() as tasks:
                for route in REQUESTERS:
                    tasks.start_soon(callers.request, route)
                tasks.start_soon(callers.train)
                async with anyio.create_task_group() as trouble:
                    trouble.start_soon(faults.run)
                    await anyio.sleep(seconds)
                    faults.stop.set()
                log_event("soak_calm", "debug", seed=seed)
                callers.stop.set()
            await _calm(world, callers)
            world.checker.check_at_the_end()
        finally:
            with anyio.CancelScope(shield=True):
                await world.close()
            servers.cancel_scope.cancel()
    return SoakReport(seed, world.checker, dict(faults.injected), callers.steps)


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
