"""Another writer among the workers' entries: what it writes names no worker to use."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import anyio
import msgspec

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.partitioned_log import Partition
from tests.gateway.memory_log import MemoryLog

ANNOUNCEMENTS = Partition("keyed.servers", 0)
SERVICES = ("app", "engines", "scorers", "frail")
FIELDS = ("service", "address", "zone", "version", "slots", "state", "sequence")
WRONG = {
    "slots": (0, -3, "4", 1.5, None),
    "state": ("gone", "", 7),
    "zone": (None, 3),
    "born": (1.5, "now", None, -1),
    "sequence": ("3", None),
}
PAUSE_SECONDS = (0.2, 1.5)
LASTS_SECONDS = (0.5, 4.0)
PROMISE = "nothing reaches what another writer listed"

Expect = Callable[[str, bool, str], None]


class ForeignWriter:
    """Lists what is no worker, under keys of its own, at an address where it listens itself."""

    def __init__(self, log: MemoryLog, address: Address, expect: Expect, seed: int) -> None:
        self._log = log
        self._address = address
        self._expect = expect
        self._chooser = random.Random(f"foreign {seed}")
        self.written: Counter[str] = Counter()

    async def run(self) -> None:
        """Write entries, and drop them again, for ever."""
        server = await asyncio.start_server(self._trap, self._address.host, self._address.port)
        try:
            number = 0
            while True:
                number += 1
                kind, value = self._value()
                self.written[kind] += 1
                key = f"foreign-{number % 5}"
                self._log.put_key(ANNOUNCEMENTS, key, value)
                await anyio.sleep(self._chooser.uniform(*LASTS_SECONDS))
                self._expect(PROMISE, True, key)
                if self._chooser.random() < 0.7:
                    self._log.put_key(ANNOUNCEMENTS, key, None)
                await anyio.sleep(self._chooser.uniform(*PAUSE_SECONDS))
        finally:
            server.close()

    def _value(self) -> tuple[str, bytes]:
        entry: dict[str, object] = {
            "service": self._chooser.choice(SERVICES),
            "address": str(self._address),
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
            "models": [{"name": "m", "version": 1}],
        }
        match self._chooser.choice(("lacking", "wrong", "bytes", "deep", "without start")):
            case "lacking":
                del entry[self._chooser.choice((*FIELDS, "cold_remaining_ms"))]
                return "entries that lack a field", msgspec.json.encode(entry)
            case "wrong":
                name = self._chooser.choice(sorted(WRONG))
                entry[name] = self._chooser.choice(WRONG[name])
                return "entries with a wrong field", msgspec.json.encode(entry)
            case "bytes":
                return "entries of random bytes", self._chooser.randbytes(60)
            case "deep":
                return "entries nested deep", b'{"a":' * 50_000
            case _:
                del entry["born"]
                return "entries without a start", msgspec.json.encode(entry)

    async def _trap(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        data = await reader.read(200)
        if data:
            self._expect(PROMISE, False, repr(data[:120]))
        writer.close()
