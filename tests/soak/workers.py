"""Engines and plain workers over HTTP, and the truth of what they ran."""

from __future__ import annotations

import hashlib
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import msgspec

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.partitioned_log import Partition
from tests.gateway.memory_log import MemoryLog
from tests.soak.asgi import Call, Reply, Send, start_answer
from tests.soak.senders import Connection
from tests.soak.zones import ZoneRules

ANNOUNCEMENTS = Partition("keyed.servers", 0)
HEARTBEAT_SECONDS = 1.0
SLOTS = 8
EVENT_SECONDS = 0.02
ANSWER_SECONDS = 0.02
LOAD_SECONDS = 0.3
PACES = (0.7, 3.0)
"""How many times longer than usual work takes at a worker that shares its machine."""
REFUSED_SHARE = 0.03
FEWEST_EVENTS, MOST_EVENTS = 3, 24
NEW_NAME_SHARE = 0.5
"""Of the starts after a planned end."""


def answer_to(request: str, body: bytes) -> bytes:
    """Return the only right answer to a request."""
    return hashlib.sha256(request.encode() + body).hexdigest().encode()


def events_of(item: str) -> int:
    """Return how many events the only right text of an item has."""
    return FEWEST_EVENTS + int(hashlib.sha256(item.encode()).hexdigest(), 16) % MOST_EVENTS


def text_of(item: str) -> str:
    """Return the only right text of an item."""
    return "\n".join(f"{item}-{n}" for n in range(1, events_of(item) + 1))


@dataclass
class Truth:
    """What workers have run, for the checker."""

    runs: Counter[str] = field(default_factory=Counter)
    made: dict[str, dict[int, set[int]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(set))
    )
    """By item and event number, the weight versions that made it."""
    fences: dict[str, list[tuple[int, str]]] = field(default_factory=lambda: defaultdict(list))
    """By worker, fence and holder of the orders it took."""
    at_work: Counter[str] = field(default_factory=Counter)
    """By request, how many workers are running it."""
    seen_at: dict[str, float] = field(default_factory=dict)
    """By request, when it last reached or left a worker (monotonic clock)."""
    finished: set[str] = field(default_factory=set)
    """Items whose whole text a worker has made."""
    on_run: Callable[[str, str, int, int], None] | None = None
    """Told of each run as it begins: request, worker and both ports of the connection."""


class WorkerServer:
    """One worker: an engine if it holds a version."""

    def __init__(
        self,
        name: str,
        service: str,
        address: Address,
        truth: Truth,
        chooser: random.Random,
        version: int | None,
        zone: str = "z1",
        rules: ZoneRules | None = None,
    ) -> None:
        self.zone = zone
        self._rules = rules
        self.link = name
        self.name = name
        """What it answers to, the same for several starts now and then."""
        self._starts = 1
        self._born = time.time_ns() // 1_000_000
        self.service = service
        self.address = address
        self._version = version
        self._ordered: tuple[int, float] | None = None
        """A version that is being loaded, and when it will be there."""
        self.usual_slow = 1.0
        self.slow = 1.0
        self.draining = False
        self.refused_share = REFUSED_SHARE
        self.shares_machine = False
        """Whether it says how long work takes at the moment, beside its load."""
        self._pace = 1.0
        self._truth = truth
        self._chooser = chooser
        self._running = 0
        self._orders = 0
        self._fence = -1
        self._beat = 0

    def start_anew(self, log: MemoryLog) -> None:
        """End and start again, under another name or under the same."""
        log.put_key(ANNOUNCEMENTS, self.name, None)
        self._starts += 1
        self._born = max(self._born + 1, time.time_ns() // 1_000_000)
        if self._chooser.random() < NEW_NAME_SHARE:
            self.name = f"{self.link}.{self._starts}"
        self.draining = False
        self._orders, self._fence, self._ordered = 0, -1, None
        self.mark_cold()
        self.announce(log)

    def mark_cold(self) -> None:
        """Be cold from now on, where the soak has cold workers."""
        if self._rules is not None:
            self._rules.mark_cold(self.name)

    @property
    def version(self) -> int | None:
        if self._ordered is not None and anyio.current_time() >= self._ordered[1]:
            self._version, self._ordered = self._ordered[0], None
        return self._version

    @property
    def _loading(self) -> bool:
        return self.version is not None and self._ordered is not None

    def announce(self, log: MemoryLog) -> None:
        """Write this worker's entry."""
        self._beat += 1
        entry = {
            "service": self.service,
            "address": str(self.address),
            "zone": self.zone,
            "cold_remaining_ms": self._cold_left() * 1000.0,
            "version": "1",
            "slots": SLOTS,
            "state": "draining" if self.draining else "ready",
            "sequence": self._beat,
            "born": self._born,
            "models": [] if self.version is None else [{"name": "m", "version": self.version}],
        }
        log.put_key(ANNOUNCEMENTS, self.name, msgspec.json.encode(entry))

    def _cold_left(self) -> float:
        return 0.0 if self._rules is None else self._rules.cold_left(self.name)

    async def handle(self, call: Call, send: Send) -> Reply | None:
        if call.headers.get("x-target-instance", self.name) != self.name:
            return Reply(421, headers=self._headers(call))
        if call.path == "/-/report":
            return self._report()
        if call.path == "/-/order":
            return self._order(msgspec.json.decode(call.body))
        if self._rules is not None:
            connection = Connection(*call.ports)
            self._rules.arrived(self.name, self.zone, call.path, connection)
        request = call.headers.get("x-request-id", "")
        self._truth.seen_at[request] = time.monotonic()
        full = self._running >= 4 * SLOTS or self._loading
        if full or self._chooser.random() < self.refused_share:
            return Reply(503, headers=(*self._headers(call), ("x-not-executed", "1")))
        self._running += 1
        self._truth.at_work[request] += 1
        try:
            return await self._run(call, send)
        finally:
            self._running -= 1
            self._truth.at_work[request] -= 1
            self._truth.seen_at[request] = time.monotonic()

    async def _run(self, call: Call, send: Send) -> Reply | None:
        request = call.headers["x-request-id"]
        self._truth.runs[request] += 1
        if self._truth.on_run is not None:
            self._truth.on_run(request, self.name, *call.ports)
        if self.version is not None:
            await self._stream(request, call, send)
            return None
        await anyio.sleep(self._work_seconds(ANSWER_SECONDS))
        return Reply(200, answer_to(request, call.body), self._headers(call))

    async def _stream(self, item: str, call: Call, send: Send) -> None:
        version = self.version
        assert version is not None
        headers = (*self._headers(call), ("x-weight-versions", str(version)))
        await start_answer(send, 200, (*headers, ("content-type", "text/event-stream")))
        for number in range(int(call.headers.get("last-event-id", "0")) + 1, events_of(item) + 1):
            await anyio.sleep(self._work_seconds(EVENT_SECONDS))
            changed = ""
            if self.version != version:
                version = self.version
                changed = f"x-weight-versions: {version}\n"
            self._truth.made[item][number].add(version)
            event = f"{changed}id: {number}\ndata: {item}-{number}\n\n".encode()
            await send({"type": "http.response.body", "body": event, "more_body": True})
        self._truth.finished.add(item)
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    @property
    def half_full(self) -> bool:
        """Whether at least half of its slots are in use."""
        return 2 * self._running >= SLOTS

    def _order(self, order: dict) -> Reply:
        if order["fence"] < self._fence:
            return Reply(412)
        if order.get("expected", self._orders) != self._orders or self._loading:
            return Reply(409)
        self._fence = order["fence"]
        self._orders += 1
        self._truth.fences[f"{self.name}@{self._born}"].append((order["fence"], order["holder"]))
        self._ordered = order["version"], anyio.current_time() + LOAD_SECONDS
        return Reply(202)

    def _report(self) -> Reply:
        return Reply.json(
            {
                "stage": "both",
                "models": [{"name": "m", "version": self.version or 0, "adapters": []}],
                "busy": self._loading,
                "sequence": self._orders,
                "born": self._born,
                "num_waiting": 0,
                "num_running": self._running,
                "kv_used": 0,
                "kv_total": 1,
                "handles": 0,
            }
        )

    def _headers(self, call: Call) -> tuple[tuple[str, str], ...]:
        return (
            ("x-request-id", call.headers.get("x-request-id", "")),
            ("x-response-signature", f"sig-{self.name}"),
            ("x-instance-load", self._load()),
        )

    def _load(self) -> str:
        load = f"{self._running},0,{SLOTS}"
        return f"{load},{round(100.0 * self._pace)}" if self.shares_machine else load

    def _work_seconds(self, usual: float) -> float:
        """Return how long a piece of work takes now, on a machine that others may use too."""
        if self.shares_machine:
            self._pace = self._chooser.uniform(*PACES)
        return usual * self.slow * self._pace
