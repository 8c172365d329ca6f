"""Gateways killed twice around a jump of their clocks, and what must hold once they are back.

Each start of a gateway takes its incarnation from the time of day. A start whose clock is ahead
leaves announcements behind, some of them written late, that are greater than the next start's.
"""

from __future__ import annotations

import random
import re
import time
from collections import Counter

import anyio
import anyio.abc
import httpx
import msgspec

from stagewalk.gateway.batch_service.batch_index import BATCH_INDEX_PARTITION, BatchPlace
from tests.soak.checker import BatchSeen
from tests.soak.faults import Faults
from tests.soak.world import GatewayProcess, World

AHEAD_SECONDS = (2.0, 30.0)
AHEAD_SHARE = (0.3, 1.0)
DOWN_SECONDS = (0.1, 0.5)
BETWEEN_KILLS_SECONDS = (0.2, 2.0)
"""From the first start to the second kill: some processes are killed before they announced
themselves, others while they resume batches."""

LATE_SHARES = (0.0, 0.5, 0.9)
"""Of the writes from the first start to the second one."""

KNOWN_AFTER_SECONDS = 10.0
"""After the last trouble of a series all gateways know each other again."""

CALM_SECONDS = 4.0
"""Further calm after that, in which batches run."""

IDLE_SECONDS = 5.0
"""An item that could run is at a worker again within this time of steady state."""

WATCH_SECONDS = 0.1

KNOWN_PROMISE = "all gateways know each other 10 s after the last trouble"
IDLE_PROMISE = "an open item lies at no worker for 5 s of steady state"
_SERVING = re.compile(r"^stagewalk_serving_nodes (\S+)$", re.MULTILINE)


class RestartSeries:
    """Runs until `stop` is set."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._chooser = random.Random(f"restarts {seed}")
        self._single = Faults(world, seed)
        self.stop = anyio.Event()
        self.injected: Counter[str] = Counter()

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            idle = IdleItems(self._world)
            tasks.start_soon(idle.watch)
            while not self.stop.is_set():
                await self._series()
                await self._expect_known()
                await anyio.sleep(CALM_SECONDS)
            tasks.cancel_scope.cancel()

    async def _series(self) -> None:
        """Kill and start gateways with clocks ahead, then again with true clocks.

        Announcements of the first start may be written once the second one has read them all.
        """
        gateways = self._world.gateways
        ahead = max(1, round(self._chooser.uniform(*AHEAD_SHARE) * len(gateways)))
        for gateway in self._chooser.sample(gateways, ahead):
            gateway.clock_ahead_seconds = self._chooser.uniform(*AHEAD_SECONDS)
        whom = self._whom()
        await self._restart(whom, self._chooser.choice(LATE_SHARES))
        await anyio.sleep(self._chooser.uniform(*BETWEEN_KILLS_SECONDS))
        for gateway in gateways:
            gateway.clock_ahead_seconds = 0.0
        await self._restart(whom, 0.0)

    def _whom(self) -> list[GatewayProcess]:
        """Choose all gateways, those that run batches, or any others."""
        gateways = [gateway for gateway in self._world.gateways if gateway.sound]
        kind = self._chooser.choice(("all", "all", "runners", "some"))
        self.injected[f"{kind} killed twice"] += 1
        if kind == "runners":
            runners = self._runners()
            return [g for g in gateways if g.name in runners] or gateways
        if kind == "some":
            return self._chooser.sample(gateways, self._chooser.randint(1, len(gateways)))
        return gateways

    def _runners(self) -> set[str]:
        """Return the names of gateways that the index of batches names as runners."""
        places = self._world.log.kept(BATCH_INDEX_PARTITION).newest.values()
        runners = {
            msgspec.msgpack.decode(place.value, type=BatchPlace).runner
            for place in places
            if place.value
        }
        return {runner.partition("#")[0] for runner in runners}

    async def _restart(self, gateways: list[GatewayProcess], late_share: float) -> None:
        """Kill gateways and start them again; a share of writes is done late from then on."""

        async def down() -> None:
            await anyio.sleep(self._chooser.uniform(*DOWN_SECONDS))
            self._world.set_store(late_share=late_share)

        if late_share > 0.0:
            self.injected["writes done late"] += 1
        await self._single.kill_these([g for g in gateways if g.process is not None], down)

    async def _expect_known(self) -> None:
        """Check how many serving nodes each gateway knows."""
        while self._world.store.troubled:
            await anyio.sleep(WATCH_SECONDS)
        await anyio.sleep(KNOWN_AFTER_SECONDS)
        for gateway in self._world.gateways:
            known = await self._serving_nodes(gateway)
            self._world.checker.expect(
                KNOWN_PROMISE,
                known == len(self._world.gateways),
                f"{gateway.name} knows {known} of {len(self._world.gateways)}",
            )

    async def _serving_nodes(self, gateway: GatewayProcess) -> int:
        try:
            answer = await self._world.client.get(f"http://{gateway.metrics}/metrics")
        except httpx.HTTPError:
            return -1
        found = _SERVING.search(answer.text)
        return -1 if found is None else int(float(found.group(1)))


class IdleItems:
    """Watches for items of open batches that lie at no worker though they could run."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._steady_since = time.monotonic()
        self._found: set[str] = set()

    async def watch(self) -> None:
        """Check all open batches again and again."""
        while True:
            await anyio.sleep(WATCH_SECONDS)
            now = time.monotonic()
            gateways, workers = self._world.gateways, self._world.workers
            in_touch = all(self._world.touch.in_touch(gateway.name) for gateway in gateways)
            engines = [worker for worker in workers if worker.version is not None]
            if not in_touch or sum(engine.half_full for engine in engines) * 2 >= len(engines):
                self._steady_since = now
            for batch, seen in self._world.checker.batches.items():
                if seen.accepted and not seen.ended and not seen.complete:
                    self._check(batch, seen, now)

    def _check(self, batch: str, seen: BatchSeen, now: float) -> None:
        truth = self._world.truth
        listed = {result["id"] for result in seen.positions.values()}
        idle = [
            item
            for item in seen.items
            if item not in listed
            and item not in truth.finished
            and truth.at_work[item] == 0
            and now - self._idle_since(seen, item) > IDLE_SECONDS
        ]
        if idle and batch not in self._found:
            self._found.add(batch)
            detail = f"{batch}: {len(idle)} items, first {idle[0]}"
            self._world.checker.expect(IDLE_PROMISE, False, detail)
        elif batch not in self._found:
            self._world.checker.checked[IDLE_PROMISE] += 1

    def _idle_since(self, seen: BatchSeen, item: str) -> float:
        seen_at = self._world.truth.seen_at.get(item, seen.accepted_at)
        return max(self._steady_since, seen.accepted_at, seen_at)
