"""Zones, cold workers and homes in a soak: the operator's evacuations, and what workers saw."""

from __future__ import annotations

import random
import time
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from stagewalk.gateway.ports.partitioned_log import Partition
from tests.gateway.memory_log import MemoryLog
from tests.soak.senders import Connection
from tests.soak.touch import TouchRecord

OPERATORS = Partition("keyed.op", 0)
REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}
HOME_ROUTE = "home"
HOME_REGION = "r1"

COLD_SECONDS = 3.0
COLD_RATE = 4.0
COLD_BOUND = 1.5 * COLD_RATE + 5
"""Requests that a cold worker may get in any second, from all gateways together."""

EVACUATED_SECONDS = 5.0
"""How long after the store took an evacuation a gateway in touch may still send."""

LASTS_SECONDS = (6.0, 10.0)
PAUSE_SECONDS = (2.0, 5.0)
AGAIN_SHARE = 0.3
TWO_SHARE = 0.25

EVACUATION_PROMISE = "nothing to an evacuated zone"
COLD_PROMISE = "a cold worker gets what it withstands"
HOME_PROMISE = "nothing out of its homes"

Expect = Callable[[str, bool, str], None]


@dataclass
class ColdSpell:
    """When a worker turned cold, and what reached it since."""

    until: float = 0.0
    arrivals: deque[float] = field(default_factory=deque)


class ZoneRules:
    """Judges each request that reaches a worker; shared by all workers of a soak."""

    def __init__(
        self,
        expect: Expect,
        touch: TouchRecord,
        senders_of: Callable[[list[Connection]], dict[Connection, str]],
    ) -> None:
        self._expect = expect
        self._touch = touch
        self._senders_of = senders_of
        self.evacuated_at: dict[str, float] = {}
        self._cold: defaultdict[str, ColdSpell] = defaultdict(ColdSpell)

    def mark_cold(self, worker: str) -> None:
        """Let a worker be cold from now on."""
        self._cold[worker].until = time.monotonic() + COLD_SECONDS

    def cold_left(self, worker: str) -> float:
        """Return how much longer a worker is cold, in seconds."""
        return max(0.0, self._cold[worker].until - time.monotonic())

    def arrived(self, worker: str, zone: str, path: str, connection: Connection) -> None:
        """Take a request that reached a worker and was meant for it."""
        now = time.monotonic()
        if path.startswith(f"/{HOME_ROUTE}/"):
            at_home = REGIONS[zone] == HOME_REGION
            self._expect(HOME_PROMISE, at_home, f"{path} at {worker} in {zone}")
        self._judge_cold(worker, now)
        self._judge_evacuated(worker, zone, connection, now)

    def _judge_cold(self, worker: str, now: float) -> None:
        spell = self._cold[worker]
        if now >= spell.until:
            spell.arrivals.clear()
            return
        spell.arrivals.append(now)
        while now - spell.arrivals[0] >= 1.0:
            spell.arrivals.popleft()
        count = len(spell.arrivals)
        self._expect(COLD_PROMISE, count <= COLD_BOUND, f"{worker}: {count} in a second")

    def _judge_evacuated(self, worker: str, zone: str, connection: Connection, now: float) -> None:
        if all(now - since <= EVACUATED_SECONDS for since in self.evacuated_at.values()):
            return
        since = self.evacuated_at.get(zone, now)
        late = now - since > EVACUATED_SECONDS
        sender = self._senders_of([connection]).get(connection) if late else None
        in_touch = sender is not None and self._touch.in_touch(sender)
        detail = f"{worker} in {zone} {now - since:.2f} s after, from {sender}"
        self._expect(EVACUATION_PROMISE, not in_touch, detail)


class ZoneOperator:
    """Evacuates zones and takes that back, until `stop` is set.

    Parameters
    ----------
    mark_cold
        Lets all workers of a zone be cold.
    """

    def __init__(
        self, log: MemoryLog, rules: ZoneRules, seed: int, mark_cold: Callable[[str], None]
    ) -> None:
        self._log = log
        self._rules = rules
        self._chooser = random.Random(f"operator {seed}")
        self._mark_cold = mark_cold
        self.stop = anyio.Event()
        self.evacuations = 0

    async def run(self) -> None:
        while not self.stop.is_set():
            await self._unless_stopped(PAUSE_SECONDS)
            two = self._chooser.random() < TWO_SHARE
            zones = self._chooser.sample(sorted(REGIONS), 2 if two else 1)
            while zones:
                for zone in zones:
                    self._evacuate(zone)
                await self._unless_stopped(LASTS_SECONDS)
                for zone in zones:
                    self._take_back(zone)
                again = self._chooser.random() < AGAIN_SHARE and not self.stop.is_set()
                zones = zones if again else []

    def _evacuate(self, zone: str) -> None:
        self._log.put_key(OPERATORS, f"evacuate/{zone}", b"{}")
        self._rules.evacuated_at[zone] = time.monotonic()
        self.evacuations += 1

    def _take_back(self, zone: str) -> None:
        self._mark_cold(zone)
        del self._rules.evacuated_at[zone]
        self._log.put_key(OPERATORS, f"evacuate/{zone}", None)

    async def _unless_stopped(self, bounds: tuple[float, float]) -> None:
        with anyio.move_on_after(self._chooser.uniform(*bounds)):
            await self.stop.wait()
