"""Callers and trainers of a soak: they ask any gateway, come back, and tell the checker."""

from __future__ import annotations

import base64
import random
import time
import uuid

import anyio
import httpx
import msgspec

from tests.soak.checker import BatchSeen
from tests.soak.scorers import score_call_of
from tests.soak.world import HOST, GatewayProcess, World

ACCEPTED = 202
PAUSE_SECONDS = 0.08
READ_SECONDS = 0.25
STEP_ITEMS = 24
GROUP_ITEMS = 4
STEP_SECONDS = 15.0
"""A step that is not whole by then is ended, as a trainer would."""


class Callers:
    """Runs until `stop` is set; `drain` then reads every batch to its end."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._chooser = random.Random(f"callers {seed}")
        self.stop = anyio.Event()
        self.steps = 0

    def _gateway(self) -> GatewayProcess:
        return self._chooser.choice(self._world.gateways)

    async def request(self, route: str) -> None:
        """Send requests, each a try of its own, until told to stop."""
        while not self.stop.is_set():
            request, body = uuid.uuid4().hex, self._chooser.randbytes(40)
            if route == "once":
                self._world.checker.once.add(request)
            headers = {"host": HOST, "x-request-id": request, "x-deadline-ms": "2000"}
            url = f"http://{self._gateway().front}/{route}/{request}"
            try:
                answer = await self._world.client.post(url, content=body, headers=headers)
            except httpx.HTTPError as error:
                self._world.checker.outcomes[f"request {type(error).__name__}"] += 1
            else:
                genuine = "x-response-signature" in answer.headers
                self._world.checker.answered(
                    request, body, answer.status_code, answer.content, genuine
                )
            await anyio.sleep(PAUSE_SECONDS)

    async def train(self, host: str = HOST) -> None:
        """Hand in a step, read it whole, end it, name the next version, again and again.

        Other hosts' trainers train on the versions that the first one names.
        """
        while not self.stop.is_set():
            batch = uuid.uuid4().hex
            seen = BatchSeen(
                tuple(f"{batch[:8]}-{n}" for n in range(STEP_ITEMS)),
                max(1, self._world.version - 1),
                host=host,
            )
            self._world.checker.batches[batch] = seen
            await self._submit(batch, seen)
            with anyio.move_on_after(STEP_SECONDS):
                while seen.accepted and not seen.complete:
                    await self.read(batch, seen)
                    await anyio.sleep(READ_SECONDS)
            if seen.accepted and not seen.complete and not self.stop.is_set():
                await self._end(batch, seen)
            self.steps += seen.complete
            if host == HOST:
                self._world.name_version()

    async def _submit(self, batch: str, seen: BatchSeen) -> None:
        content = submission_of(seen.items, seen.minimum_version)
        headers = {"host": seen.host, "x-request-id": batch}
        with anyio.move_on_after(STEP_SECONDS):
            while not seen.accepted:
                answer = await self._call("POST", f"/run/{batch}", content, headers)
                seen.accepted = answer is not None and answer.status_code == ACCEPTED
                seen.accepted_at = time.monotonic()
                if not seen.accepted:
                    await anyio.sleep(READ_SECONDS)

    async def read(self, batch: str, seen: BatchSeen) -> None:
        """Read from any position at any gateway."""
        position = self._chooser.randint(0, len(seen.positions))
        gateway = self._gateway()
        answer = await self._call(
            "GET", f"/-/lots/{batch}?after_rev={position}", b"", {"host": seen.host}, gateway
        )
        if answer is None:
            return
        checker = self._world.checker
        checker.outcomes[f"results {answer.status_code}"] += 1
        checker.expect("a batch is known", answer.status_code != 404, f"{batch} at {gateway.name}")
        if answer.status_code == httpx.codes.OK:
            checker.shown(batch, position, answer.json(), gateway.name)

    async def _end(self, batch: str, seen: BatchSeen) -> None:
        seen.ended = True
        while True:
            answer = await self._call("DELETE", f"/-/lots/{batch}", b"", {"host": seen.host})
            if answer is not None and answer.status_code == httpx.codes.OK:
                return
            await anyio.sleep(READ_SECONDS)

    async def _call(
        self,
        method: str,
        path: str,
        content: bytes,
        headers: dict[str, str],
        gateway: GatewayProcess | None = None,
    ) -> httpx.Response | None:
        url = f"http://{(gateway or self._gateway()).front}{path}"
        try:
            return await self._world.client.request(method, url, content=content, headers=headers)
        except httpx.HTTPError:
            return None


def submission_of(items: tuple[str, ...], minimum_version: int) -> bytes:
    """Return the body that hands in a batch of these items."""
    described = [
        {
            "id": item,
            "path": f"/run/{item}",
            "headers": {"X-Model": "m"},
            "body": base64.b64encode(item.encode()).decode(),
            "group": f"g{n // GROUP_ITEMS}",
            "scorer": {
                "id": score_call_of(item),
                "host": HOST,
                "path": f"/score/{item}",
                "body": base64.b64encode(b"score " + item.encode()).decode(),
            },
        }
        for n, item in enumerate(items)
    ]
    return msgspec.json.encode(
        {"step": 0, "model": "m", "min_version": minimum_version, "items": described}
    )
