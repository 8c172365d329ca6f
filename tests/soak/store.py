"""The platform's store over HTTP, as its protocol says, on the log that stands in for it."""

from __future__ import annotations

import base64
import random
import struct
import time
from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from stagewalk.gateway.ports.partitioned_log import (
    LogFailure,
    LogFault,
    Partition,
    ProducerSequence,
)
from tests.gateway.memory_log import MemoryLog
from tests.soak.asgi import Call, LostAnswer, Reply, Send

KEYED = "keyed."
LATE_SECONDS = (1.0, 6.0)
"""After how long a late write is done."""

LATE_TICK_SECONDS = 0.02
_STATUS = {
    LogFault.REFUSED: 503,
    LogFault.CONFLICT: 412,
    LogFault.OUT_OF_SEQUENCE: 409,
    LogFault.DROPPED: 410,
}


class StoreServer:
    """Faults concern all callers; a single gateway is cut off by its link instead."""

    def __init__(self, log: MemoryLog, chooser: random.Random) -> None:
        self._log = log
        self._client = log.client()
        self._chooser = chooser
        self.down = False
        self.lost_share = 0.0
        self.late_share = 0.0
        """Share of writes that are not answered and are done late."""
        self.delay_seconds = 0.0
        self._late: list[tuple[float, Callable[[], Awaitable[Reply]]]] = []
        """Late writes, by when they are due."""

    @property
    def troubled(self) -> bool:
        """Whether any fault concerns all callers now."""
        shares = self.lost_share + self.late_share
        return self.down or shares > 0.0 or self.delay_seconds > 0.0 or bool(self._late)

    async def write_late(self) -> None:
        """Do the writes that are late, until cancelled."""
        while True:
            await anyio.sleep(LATE_TICK_SECONDS)
            now = time.monotonic()
            due = [write for at, write in self._late if at <= now]
            self._late = [(at, write) for at, write in self._late if at > now]
            for write in due:
                await write()

    async def handle(self, call: Call, _send: Send) -> Reply:
        await anyio.sleep(self.delay_seconds)
        if self.down:
            return Reply.json({"error": "down"}, 503)
        partition = Partition(call.query.get("topic", ""), int(call.query.get("part", "0")))
        match call.path:
            case "/-/log-append":
                return await self._append(partition, call)
            case "/-/log-read":
                return await self._read(partition, call)
            case "/-/log-newest":
                return await self._newest(partition)
        return Reply(404)

    async def _append(self, partition: Partition, call: Call) -> Reply:
        if self._chooser.random() < self.late_share:
            at = time.monotonic() + self._chooser.uniform(*LATE_SECONDS)
            self._late.append((at, partial(self._write, partition, call)))
            raise LostAnswer
        reply = await self._write(partition, call)
        if self._chooser.random() < self.lost_share:
            raise LostAnswer
        return reply

    async def _write(self, partition: Partition, call: Call) -> Reply:
        payloads = _records(call.body)
        if partition.topic.startswith(KEYED):
            for payload in payloads:
                key = payload[1 : 1 + payload[0]].decode()
                result = await self._client.append_keyed(
                    partition, key, payload[1 + payload[0] :] or b""
                )
        elif "at" in call.query:
            (payload,) = payloads
            result = await self._client.append_at(partition, payload, int(call.query["at"]))
        else:
            sequence = ProducerSequence(
                call.query["producer"], int(call.query["epoch"]), int(call.query["sequence"])
            )
            result = await self._client.append(partition, payloads, sequence)
        if result.is_error():
            return _failure(result.error)
        return Reply.json({"offset": result.ok, "end": result.ok + len(payloads)})

    async def _read(self, partition: Partition, call: Call) -> Reply:
        offset = int(call.query["from"])
        wait = int(call.query.get("wait_ms", "0")) / 1000.0
        if partition.topic.startswith(KEYED):
            keyed = await self._client.read_keyed(partition, offset, wait)
            if keyed.is_error():
                return _failure(keyed.error)
            payloads = [
                bytes([len(r.key)]) + r.key.encode() + (r.value or b"") for r in keyed.ok.records
            ]
            end = keyed.ok.next_offset
        else:
            page = await self._client.read(partition, offset, wait)
            if page.is_error():
                return _failure(page.error)
            payloads = [record.payload for record in page.ok.records]
            end = page.ok.end
        if self.down:
            return Reply.json({"error": "down"}, 503)
        content = b"".join(struct.pack(">I", len(p)) + p for p in payloads)
        return Reply(200, struct.pack(">QQ", end, 0) + content)

    async def _newest(self, partition: Partition) -> Reply:
        page = await self._client.newest(partition)
        if page.is_error():
            return _failure(page.error)
        items = [
            {"key": r.key, "value": base64.b64encode(r.value or b"").decode(), "offset": r.offset}
            for r in page.ok.records
        ]
        return Reply.json({"items": items, "more": False, "end": page.ok.next_offset})


def _records(content: bytes) -> list[bytes]:
    records = []
    while content:
        (length,) = struct.unpack_from(">I", content)
        records.append(content[4 : 4 + length])
        content = content[4 + length :]
    return records


def _failure(failure: LogFailure) -> Reply:
    body = {"end": 0, "first": failure.first_offset, "why": failure.detail}
    return Reply.json(body, _STATUS.get(failure.fault, 500))
