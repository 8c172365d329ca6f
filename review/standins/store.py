"""The platform's store as PROTOCOL.md describes it: partitioned logs, keyed topics, no faults."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
from collections import defaultdict
from dataclasses import dataclass, field

from http_server import Answer, ChunkedStream, Request

ANSWER_SECONDS = 0.004
KEYED_PREFIX = "keyed."
REMEMBERED_SEQUENCES = 5

_LENGTH = struct.Struct(">I")
_PAGE_HEAD = struct.Struct(">QQ")


@dataclass
class _Producer:
    epoch: int
    sequence: int
    answers: dict[int, int] = field(default_factory=dict)
    """Offsets of the last appends, by sequence number."""


class _Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, int] = {}
        """By key, the offset of its newest record; only of a keyed topic."""
        self.producers: dict[str, _Producer] = {}
        self.grown = asyncio.Event()

    def append(self, payloads: list[bytes], *, keyed: bool) -> int:
        """Append records and return the offset of the first."""
        first = len(self.records)
        for payload in payloads:
            if keyed:
                self._note_key(payload)
            self.records.append(payload)
        self.grown.set()
        self.grown = asyncio.Event()
        return first

    def _note_key(self, payload: bytes) -> None:
        key = payload[1 : 1 + payload[0]].decode()
        if len(payload) > 1 + payload[0]:
            self.newest[key] = len(self.records)
        else:
            self.newest.pop(key, None)


class Store:
    """All partitions. Acknowledged records stay for as long as the store runs."""

    def __init__(self) -> None:
        self._partitions: dict[tuple[str, int], _Partition] = defaultdict(_Partition)

    def put(self, topic: str, key: str, value: dict[str, object]) -> None:
        """Set a key, as the operator, a trainer or a worker does."""
        encoded = key.encode()
        payload = bytes([len(encoded)]) + encoded + json.dumps(value).encode()
        self._partitions[topic, 0].append([payload], keyed=True)

    async def wait_for_record(self, topic: str) -> None:
        """Wait until another record is appended to partition 0 of a topic."""
        await self._partitions[topic, 0].grown.wait()

    async def handle(self, request: Request, _stream: ChunkedStream) -> Answer:
        """Answer a call."""
        await asyncio.sleep(ANSWER_SECONDS)
        topic = request.query.get("topic", "")
        partition = self._partitions[topic, int(request.query.get("part", "0"))]
        match request.path:
            case "/-/log-append":
                return _append(partition, topic, request)
            case "/-/log-read":
                return await _read(partition, request)
            case "/-/log-newest":
                return _newest(partition)
        return Answer(404)


def _append(partition: _Partition, topic: str, request: Request) -> Answer:
    query, end = request.query, len(partition.records)
    if "at" in query and int(query["at"]) != end:
        return _json({"end": end}, 412)
    if "producer" not in query:
        return _appended(partition, _payloads(request.body), topic)
    epoch, sequence = int(query["epoch"]), int(query["sequence"])
    known = partition.producers.get(query["producer"])
    if known is not None and epoch < known.epoch:
        return _json({"why": "fenced"}, 409)
    if known is None or epoch > known.epoch:
        known = partition.producers[query["producer"]] = _Producer(epoch, sequence - 1)
    if sequence in known.answers:
        return _json({"offset": known.answers[sequence], "end": end})
    if sequence != known.sequence + 1:
        return _json({"why": "seq", "sequence": known.sequence + 1}, 409)
    known.sequence = sequence
    known.answers[sequence] = end
    known.answers = dict(list(known.answers.items())[-REMEMBERED_SEQUENCES:])
    return _appended(partition, _payloads(request.body), topic)


def _appended(partition: _Partition, payloads: list[bytes], topic: str) -> Answer:
    first = partition.append(payloads, keyed=topic.startswith(KEYED_PREFIX))
    return _json({"offset": first, "end": len(partition.records)})


async def _read(partition: _Partition, request: Request) -> Answer:
    first = int(request.query["from"])
    most = int(request.query.get("max_kb", "1024")) * 1024
    wait = int(request.query.get("wait_ms", "0")) / 1000.0
    if first >= len(partition.records) and wait > 0.0:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(partition.grown.wait(), wait)
    body = b""
    for payload in partition.records[first:]:
        if body and len(body) + len(payload) > most:
            break
        body += _LENGTH.pack(len(payload)) + payload
    return Answer(200, _PAGE_HEAD.pack(len(partition.records), 0) + body)


def _newest(partition: _Partition) -> Answer:
    items = []
    for key, offset in sorted(partition.newest.items()):
        payload = partition.records[offset]
        value = base64.b64encode(payload[1 + payload[0] :]).decode()
        items.append({"key": key, "value": value, "offset": offset})
    return _json({"items": items, "more": False, "end": len(partition.records)})


def _payloads(content: bytes) -> list[bytes]:
    payloads = []
    while content:
        (length,) = _LENGTH.unpack_from(content)
        payloads.append(content[_LENGTH.size : _LENGTH.size + length])
        content = content[_LENGTH.size + length :]
    return payloads


def _json(value: object, status: int = 200) -> Answer:
    return Answer(status, json.dumps(value).encode(), (("content-type", "application/json"),))
