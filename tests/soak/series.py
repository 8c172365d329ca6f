"""Faults in series: several gateways, the store and links fail beside each other, then calm."""

from __future__ import annotations

import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from stagewalk_standins.forwarder_faults import BOTH_WAYS, Direction, LinkFaults
from tests.soak.faults import Faults
from tests.soak.world import GatewayProcess, World

FAULT_SECONDS = (0.5, 6.0)
GAP_SECONDS = (0.0, 1.5)
"""Between the beginnings of two faults of a series."""

CALM_SECONDS = (2.0, 8.0)
"""Between two series: long enough that gateways come in touch again, short enough that batches
of the series before are still handed in again."""

MOST_IN_SERIES = 5
STUCK_TIMES_SLOWER = 50.0
STOP_SECONDS = (0.2, 1.5)
"""Between two stops in turn."""

STORE_LINK_FAULTS = (
    LinkFaults(cut=True),
    LinkFaults(black_holes=BOTH_WAYS),
    LinkFaults(black_holes=(Direction.TO_CLIENT,)),
    LinkFaults(delay_seconds=0.5),
    LinkFaults(drop_answers=True),
)

WEIGHTS = {
    "several killed together": 5,
    "one killed": 3,
    "all killed": 1,
    "stops in turn": 2,
    "several frozen": 2,
    "settings reread": 1,
    "store links": 3,
    "store down": 1,
    "store answers lost": 1,
    "store slow": 1,
    "worker stuck": 1,
    "configuration": 1,
}
"""Kills most of all: they move the replicas, and leave the other gateways in touch."""


class FaultSeries:
    """Runs until `stop` is set; every fault is lifted again."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._chooser = random.Random(f"series {seed}")
        self._single = Faults(world, seed)
        self.stop = anyio.Event()
        self.injected: Counter[str] = Counter()
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "several killed together": self._kill_several,
            "one killed": self._kill_one,
            "all killed": self._kill_all,
            "stops in turn": self._stop_in_turn,
            "several frozen": self._freeze_several,
            "settings reread": self._single.inject("settings reread"),
            "store links": self._store_links,
            "store down": self._store_down,
            "store answers lost": self._store_lost,
            "store slow": self._store_slow,
            "worker stuck": self._worker_stuck,
            "configuration": self._single.inject("configuration"),
        }

    async def run(self) -> None:
        kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
        while not self.stop.is_set():
            async with anyio.create_task_group() as tasks:
                for kind in self._chooser.choices(
                    kinds, weights, k=self._chooser.randint(1, MOST_IN_SERIES)
                ):
                    self.injected[kind] += 1
                    tasks.start_soon(self._kinds[kind])
                    await self._unless_stopped(GAP_SECONDS)
            await self._unless_stopped(CALM_SECONDS)

    async def _unless_stopped(self, bounds: tuple[float, float]) -> None:
        with anyio.move_on_after(self._chooser.uniform(*bounds)):
            await self.stop.wait()

    async def _last(self) -> None:
        await anyio.sleep(self._chooser.uniform(*FAULT_SECONDS))

    def _some(self, fewest: int = 1) -> list[GatewayProcess]:
        """Choose sound gateways, at most two thirds of all."""
        sound = [gateway for gateway in self._world.gateways if gateway.sound]
        most = max(1, 2 * len(self._world.gateways) // 3)
        count = self._chooser.randint(fewest, max(fewest, most))
        return self._chooser.sample(sound, min(count, len(sound)))

    async def _kill_several(self) -> None:
        await self._kill_these(self._some(2))

    async def _kill_one(self) -> None:
        await self._kill_these(self._some()[:1])

    async def _kill_all(self) -> None:
        await self._kill_these([g for g in self._world.gateways if g.sound])

    async def _kill_these(self, gateways: list[GatewayProcess]) -> None:
        await self._single.kill_these(gateways, self._last)

    async def _stop_in_turn(self) -> None:
        async with anyio.create_task_group() as tasks:
            for gateway in self._some():
                if gateway.sound:
                    tasks.start_soon(self._single.stop_in_order, gateway)
                await anyio.sleep(self._chooser.uniform(*STOP_SECONDS))

    async def _freeze_several(self) -> None:
        gateways = self._some()
        for gateway in gateways:
            gateway.frozen = True
            gateway.signal(signal.SIGSTOP)
        await self._last()
        for gateway in gateways:
            gateway.signal(signal.SIGCONT)
            gateway.frozen = False

    async def _store_links(self) -> None:
        faults = self._chooser.choice(STORE_LINK_FAULTS)
        links = [gateway.link for gateway in self._some()]
        for link in links:
            self._world.set_link(link, faults)
        await self._last()
        for link in links:
            self._world.set_link(link, LinkFaults())

    async def _store_down(self) -> None:
        self._world.set_store(down=True)
        await self._last()
        self._world.set_store(down=False)

    async def _store_lost(self) -> None:
        self._world.set_store(lost_share=0.3)
        await self._last()
        self._world.set_store(lost_share=0.0)

    async def _store_slow(self) -> None:
        self._world.set_store(delay_seconds=self._chooser.uniform(0.1, 0.6))
        await self._last()
        self._world.set_store(delay_seconds=0.0)

    async def _worker_stuck(self) -> None:
        worker = self._chooser.choice(self._world.workers)
        worker.slow = STUCK_TIMES_SLOWER * worker.usual_slow
        await self._last()
        worker.slow = worker.usual_slow
