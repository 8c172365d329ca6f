"""Injects faults into a soak, one after another or together, as its seed decides."""

from __future__ import annotations

import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import anyio.to_thread

from stagewalk_standins.forwarder_faults import BOTH_WAYS, Direction, LinkFaults
from tests.soak.world import GatewayProcess, World

LONGEST_FAULT_SECONDS = 4.0
LONGEST_PAUSE_SECONDS = 2.5

LINK_FAULTS = (
    LinkFaults(cut=True),
    LinkFaults(black_holes=BOTH_WAYS),
    LinkFaults(black_holes=(Direction.TO_CLIENT,)),
    LinkFaults(delay_seconds=0.2),
    LinkFaults(drop_answers=True),
)


class Faults:
    """Runs until `stop` is set; every fault is lifted again."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._chooser = random.Random(f"faults {seed}")
        self.stop = anyio.Event()
        self.injected: Counter[str] = Counter()
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "gateway killed": self._kill,
            "gateways all killed": self._kill_all,
            "gateway frozen": self._freeze,
            "gateway stopped in order": self._stop_in_order,
            "settings reread": self._reload,
            "store link": self._store_link,
            "worker link": self._worker_link,
            "store down": self._store_down,
            "store answers lost": self._store_lost,
            "store slow": self._store_slow,
            "worker slow": self._worker_slow,
            "worker draining": self._worker_draining,
            "configuration": self._configuration,
        }

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while not self.stop.is_set():
                kind = self._chooser.choice(sorted(self._kinds))
                self.injected[kind] += 1
                tasks.start_soon(self._kinds[kind])
                with anyio.move_on_after(self._chooser.uniform(0.2, LONGEST_PAUSE_SECONDS)):
                    await self.stop.wait()

    def inject(self, kind: str) -> Callable[[], Awaitable[None]]:
        """Return what injects one kind of fault and lifts it again."""
        return self._kinds[kind]

    async def _last(self) -> None:
        await anyio.sleep(self._chooser.uniform(0.5, LONGEST_FAULT_SECONDS))

    def _sound_gateway(self) -> GatewayProcess | None:
        sound = [gateway for gateway in self._world.gateways if gateway.sound]
        return self._chooser.choice(sound) if sound else None

    async def _kill(self) -> None:
        gateway = self._sound_gateway()
        if gateway is not None:
            await self.kill_these([gateway], self._last)

    async def _kill_all(self) -> None:
        await self.kill_these([g for g in self._world.gateways if g.sound], self._last)

    async def kill_these(
        self, gateways: list[GatewayProcess], last: Callable[[], Awaitable[None]]
    ) -> None:
        """Kill gateways together and start them again once `last` returns."""
        for gateway in gateways:
            gateway.frozen = True
            gateway.signal(signal.SIGKILL)
        for gateway in gateways:
            await anyio.to_thread.run_sync(gateway.reap)
            gateway.frozen = False
        await last()
        for gateway in gateways:
            self._world.start_gateway(gateway)

    async def _freeze(self) -> None:
        gateway = self._sound_gateway()
        if gateway is None:
            return
        gateway.frozen = True
        gateway.signal(signal.SIGSTOP)
        await self._last()
        gateway.signal(signal.SIGCONT)
        gateway.frozen = False

    async def _stop_in_order(self) -> None:
        gateway = self._sound_gateway()
        if gateway is not None:
            await self.stop_in_order(gateway)

    async def stop_in_order(self, gateway: GatewayProcess) -> None:
        """Ask a gateway to stop, wait until it has and start it again."""
        gateway.frozen = True
        gateway.signal(signal.SIGTERM)
        code = await anyio.to_thread.run_sync(gateway.reap)
        # Before the program has come to its first line the signal ends the process by itself: it
        # has served nobody by then.
        unborn = code == -signal.SIGTERM and not gateway.serves
        detail = f"{gateway.name}: exit code {code}"
        self._world.checker.expect("a planned stop ends in order", code == 0 or unborn, detail)
        gateway.frozen = False
        self._world.start_gateway(gateway)

    async def _reload(self) -> None:
        gateway = self._sound_gateway()
        if gateway is not None:
            gateway.signal(signal.SIGHUP)

    async def _store_link(self) -> None:
        await self._fail_link(self._chooser.choice(self._world.gateways).link)

    async def _worker_link(self) -> None:
        await self._fail_link(self._chooser.choice(self._world.linked_workers).link)

    async def _fail_link(self, name: str) -> None:
        self._world.set_link(name, self._chooser.choice(LINK_FAULTS))
        await self._last()
        self._world.set_link(name, LinkFaults())

    async def _store_down(self) -> None:
        self._world.set_store(down=True)
        await self._last()
        self._world.set_store(down=False)

    async def _store_lost(self) -> None:
        self._world.set_store(lost_share=0.3)
        await self._last()
        self._world.set_store(lost_share=0.0)

    async def _store_slow(self) -> None:
        self._world.set_store(delay_seconds=0.15)
        await self._last()
        self._world.set_store(delay_seconds=0.0)

    async def _worker_slow(self) -> None:
        worker = self._chooser.choice(self._world.workers)
        worker.slow = 5.0
        await self._last()
        worker.slow = worker.usual_slow

    async def _worker_draining(self) -> None:
        worker = self._chooser.choice(self._world.workers)
        if worker.draining:
            return
        worker.draining = True
        await self._last()
        worker.start_anew(self._world.log)

    async def _configuration(self) -> None:
        self._world.publish()
