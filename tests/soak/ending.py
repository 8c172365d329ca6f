"""Trainers that end batches early, and callers that look at batches others handed in."""

from __future__ import annotations

import random
import uuid
from collections import deque
from dataclasses import dataclass

import anyio
import anyio.abc
import httpx

from tests.soak.callers import ACCEPTED, submission_of
from tests.soak.checker import BatchSeen
from tests.soak.world import HOST, GatewayProcess, World

FEWEST_ITEMS, MOST_ITEMS = 24, 96
SHORTEST_TRY_SECONDS, LONGEST_TRY_SECONDS = 0.3, 2.0
"""Within these bounds a caller waits for an answer before it asks another gateway."""

SOON_SECONDS = 0.4
DEADLINE_SECONDS = (1.0, 4.0)
READ_SECONDS = 0.15
AGAIN_SECONDS = 4.0
"""How long after its first answer an end is still sent again."""

RECENT_SECONDS = 12.0
"""How long after its 202 others hand a batch in again."""

INSPECTION_SECONDS = (0.02, 0.25)
WAYS = ("soon", "soon", "after a part", "at a deadline")


class Caller:
    """Asks gateways, on fresh connections or on one that it keeps for as long as it holds."""

    def __init__(self, world: World, name: str, seed: int, *, keeps: bool) -> None:
        self._world = world
        self.chooser = random.Random(f"{name} {seed}")
        self._keeps = keeps
        self._kept: GatewayProcess | None = None
        self._client = self._new_client()

    async def call(
        self, method: str, path: str, content: bytes = b"", batch: str = ""
    ) -> httpx.Response | None:
        """Ask one gateway; None if it didn't answer in the time this caller allows."""
        gateway = self._kept or self.chooser.choice(self._world.gateways)
        headers = {"host": HOST} | ({"x-request-id": batch} if batch else {})
        patience = self.chooser.uniform(SHORTEST_TRY_SECONDS, LONGEST_TRY_SECONDS)
        url = f"http://{gateway.front}{path}"
        try:
            answer = await self._client.request(
                method, url, content=content, headers=headers, timeout=patience
            )
        except httpx.TimeoutException:
            return None
        except httpx.HTTPError:
            self._kept = None
            return None
        self._kept = gateway if self._keeps else None
        return answer

    async def aclose(self) -> None:
        await self._client.aclose()

    def _new_client(self) -> httpx.AsyncClient:
        kept = None if self._keeps else 0
        limits = httpx.Limits(max_keepalive_connections=kept, keepalive_expiry=None)
        return httpx.AsyncClient(trust_env=False, limits=limits)


@dataclass
class Recent:
    """A batch that was accepted a short while ago."""

    batch: str
    content: bytes
    seen: BatchSeen
    accepted: float


class EndingCallers:
    """Runs until `stop` is set; whatever was accepted is ended by then."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._seed = seed
        self._recent: deque[Recent] = deque()
        self.stop = anyio.Event()

    async def train(self, number: int) -> None:
        """Hand a batch in and end it, again and again."""
        caller = Caller(self._world, f"ending trainer {number}", self._seed, keeps=number % 2 == 1)
        async with anyio.create_task_group() as tasks:
            while not self.stop.is_set():
                await self._one_batch(caller, tasks)
        await caller.aclose()

    async def inspect(self, number: int) -> None:
        """Hand recent batches in again, send their ends again and read them, at any gateway."""
        caller = Caller(self._world, f"inspector {number}", self._seed, keeps=number % 2 == 1)
        while not self.stop.is_set():
            await anyio.sleep(caller.chooser.uniform(*INSPECTION_SECONDS))
            recent = self._choose_recent(caller.chooser)
            if recent is None:
                continue
            action = caller.chooser.random()
            if action < 0.6:
                await self._hand_in_again(caller, recent)
            elif action < 0.75 and recent.seen.ended:
                await self._send_end(caller, recent.batch)
            else:
                await self._read(caller, recent.batch, recent.seen)
        await caller.aclose()

    def _choose_recent(self, chooser: random.Random) -> Recent | None:
        oldest = anyio.current_time() - RECENT_SECONDS
        while self._recent and self._recent[0].accepted < oldest:
            self._recent.popleft()
        return chooser.choice(self._recent) if self._recent else None

    async def _one_batch(self, caller: Caller, tasks: anyio.abc.TaskGroup) -> None:
        batch = uuid.UUID(int=caller.chooser.getrandbits(128)).hex
        count = caller.chooser.randint(FEWEST_ITEMS, MOST_ITEMS)
        items = tuple(f"{batch[:12]}-{n}" for n in range(count))
        seen = BatchSeen(items, max(1, self._world.version - 1))
        self._world.checker.batches[batch] = seen
        self._world.ended.handed_in(batch, items)
        content = submission_of(items, seen.minimum_version)
        while not seen.accepted:
            answer = await caller.call("POST", f"/run/{batch}", content, batch)
            seen.accepted = answer is not None and answer.status_code == ACCEPTED
            if not seen.accepted:
                await anyio.sleep(caller.chooser.uniform(0.0, READ_SECONDS))
        recent = Recent(batch, content, seen, anyio.current_time())
        self._recent.append(recent)
        await self._until_it_is_ended(caller, recent)
        tasks.start_soon(self._end_again, caller, batch)

    async def _until_it_is_ended(self, caller: Caller, recent: Recent) -> None:
        seen, chooser = recent.seen, caller.chooser
        way = chooser.choice(WAYS)
        if way == "soon":
            await anyio.sleep(chooser.uniform(0.0, SOON_SECONDS))
        else:
            enough = len(seen.items) if way == "at a deadline" else chooser.randint(1, 12)
            with anyio.move_on_after(chooser.uniform(*DEADLINE_SECONDS)):
                while len(seen.positions) < enough:
                    await self._read(caller, recent.batch, seen)
                    await anyio.sleep(READ_SECONDS)
        seen.ended = True
        while not await self._send_end(caller, recent.batch):
            await anyio.sleep(chooser.uniform(0.0, READ_SECONDS))

    async def _end_again(self, caller: Caller, batch: str) -> None:
        for _ in range(caller.chooser.randint(0, 2)):
            await anyio.sleep(caller.chooser.uniform(0.0, AGAIN_SECONDS / 2))
            await self._send_end(caller, batch)

    async def _send_end(self, caller: Caller, batch: str) -> bool:
        answer = await caller.call("DELETE", f"/-/lots/{batch}")
        done = answer is not None and answer.status_code == httpx.codes.OK
        if done:
            self._world.ended.acknowledge(batch)
        return done

    async def _hand_in_again(self, caller: Caller, recent: Recent) -> None:
        batch = recent.batch
        ended = batch in self._world.ended.acknowledged
        answer = await caller.call("POST", f"/run/{batch}", recent.content, batch)
        status = "nothing" if answer is None else str(answer.status_code)
        self._world.checker.outcomes[
            f"handed in again {'after' if ended else 'before'} {status}"
        ] += 1
        if ended and status == str(ACCEPTED):
            self._world.ended.resubmitted.add(batch)

    async def _read(self, caller: Caller, batch: str, seen: BatchSeen) -> None:
        position = caller.chooser.randint(0, len(seen.positions))
        answer = await caller.call("GET", f"/-/lots/{batch}?after_rev={position}")
        if answer is not None and answer.status_code == httpx.codes.OK:
            self._world.checker.shown(batch, position, answer.json(), "a gateway")
