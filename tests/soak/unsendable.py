"""A trainer whose batches hold an item that can't be sent to any worker."""

from __future__ import annotations

import random

import anyio
import httpx
import msgspec

from tests.soak.world import HOST, World

PAUSE_SECONDS = (0.3, 2.0)
PROMISE = "a batch that can't be sent is never accepted"
ACCEPTED = 202
UNSENDABLE: tuple[dict, ...] = (
    {"id": "x", "path": "/run/x", "headers": {"X-Place": "Zarq\u0101\u02be"}},
    {"id": "x", "path": "/run/x", "headers": {"X-Place": "a\nb"}},
    {"id": "x", "path": "/run/x", "headers": {"X Place": "a"}},
    {"id": "x\u02be", "path": "/run/x"},
    {"id": "x", "path": "/run/\u0007"},
    {"id": "x", "path": ""},
    {"id": "x", "path": "/run/x", "scorer": {"id": "\u02be", "host": HOST, "path": "/score/x"}},
)


class UnsendableBatches:
    """Submits such batches to any gateway, for ever."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._chooser = random.Random(f"unsendable {seed}")

    async def run(self) -> None:
        number = 0
        while True:
            number += 1
            items = [{"id": f"good-{number}", "path": "/run/x"}, self._chooser.choice(UNSENDABLE)]
            content = msgspec.json.encode({"model": "m", "items": items})
            gateway = self._chooser.choice(self._world.gateways)
            headers = {"host": HOST, "x-request-id": f"unsendable-{number}"}
            url = f"http://{gateway.front}/run/unsendable"
            try:
                answer = await self._world.client.post(url, content=content, headers=headers)
                accepted = answer.status_code == ACCEPTED
                self._world.checker.expect(PROMISE, not accepted, f"{items[1]}")
            except httpx.HTTPError:
                pass
            await anyio.sleep(self._chooser.uniform(*PAUSE_SECONDS))
