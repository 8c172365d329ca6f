"""Requests to the store, and the mapping of its responses to results and failures."""

from __future__ import annotations

import base64
import json
import struct

import testtools

from stagewalk.gateway.ports.partitioned_log import LogFault, Partition, ProducerSequence
from stagewalk_platform.store import PlatformLog
from tests.platform_adapter.scripted_server import Scripted, ScriptedServer, play, respond

PARTITION = Partition("work", 3)
SEQUENCE = ProducerSequence("w", 7, 12)


def page(end: int, *payloads: bytes) -> bytes:
    records = b"".join(struct.pack(">I", len(p)) + p for p in payloads)
    return respond("200 OK", struct.pack(">QQ", end, 0) + records)


def answer(status: str, **fields: object) -> bytes:
    return respond(status, json.dumps(fields).encode())


class StoreTests(testtools.TestCase):
    def call(self, operation, *contents: bytes, **kinds: bool):
        outcome = []

        async def scenario(server: ScriptedServer) -> None:
            outcome.append(await operation(PlatformLog(server.address)))
            outcome.append(server.requests)

        play([Scripted(content, **kinds) for content in contents], scenario)
        return outcome

    def append(self, content: bytes, **kinds: bool):
        return self.call(
            lambda log: log.append(PARTITION, [b"ab", b"c"], SEQUENCE), content, **kinds
        )

    def test_an_append_frames_records_and_sends_the_producer_sequence(self) -> None:
        result, requests = self.append(answer("200 OK", offset=840, end=842))
        self.assertEqual(840, result.ok)
        head, body = requests[0].split(b"\r\n\r\n", 1)
        self.assertEqual(b"\x00\x00\x00\x02ab\x00\x00\x00\x01c", body)
        for part in (b"topic=work", b"part=3", b"producer=w", b"epoch=7", b"sequence=12"):
            self.assertIn(part, head)

    def test_statuses_are_mapped_to_faults(self) -> None:
        for content, fault in (
            (answer("412 No", end=9), LogFault.CONFLICT),
            (answer("409 No", why="seq", sequence=6), LogFault.OUT_OF_SEQUENCE),
            (answer("429 No"), LogFault.REFUSED),
            (answer("503 No"), LogFault.REFUSED),
            (answer("400 No", error="no such partition"), LogFault.REJECTED),
            (answer("500 No"), LogFault.UNKNOWN),
            (respond("200 OK", b"noise"), LogFault.UNKNOWN),
        ):
            self.assertEqual(fault, self.append(content)[0].error.fault)
        self.assertEqual(LogFault.UNKNOWN, self.append(b"", reset=True)[0].error.fault)

    def test_records_and_their_offsets(self) -> None:
        result, requests = self.call(
            lambda log: log.read(PARTITION, 840, 2.0), page(842, b"ab", b"c")
        )
        self.assertEqual(
            [(840, b"ab"), (841, b"c")], [(r.offset, r.payload) for r in result.ok.records]
        )
        self.assertEqual((842, 842), (result.ok.next_offset, result.ok.end))
        self.assertIn(b"wait_ms=2000", requests[0])
        self.assertIn(b"max_kb=256", requests[0])

    def test_a_truncated_record_is_a_failure(self) -> None:
        truncated = respond("200 OK", struct.pack(">QQI", 1, 0, 9) + b"abc")
        result, _ = self.call(lambda log: log.read(PARTITION, 0, 0.0), truncated)
        self.assertEqual(LogFault.UNKNOWN, result.error.fault)

    def test_a_read_of_dropped_records_returns_the_first_offset(self) -> None:
        result, _ = self.call(lambda log: log.read(PARTITION, 0, 0.0), answer("410 Gone", first=77))
        self.assertEqual((LogFault.DROPPED, 77), (result.error.fault, result.error.first_offset))

    def test_keyed_records_and_deleted_keys(self) -> None:
        content = page(2, b"\x01kvalue", b"\x01k")
        result, _ = self.call(lambda log: log.read_keyed(PARTITION, 0, 0.0), content)
        self.assertEqual(
            [("k", b"value"), ("k", None)], [(r.key, r.value) for r in result.ok.records]
        )

    def test_a_listing_whose_value_cannot_be_decoded_is_a_failure(self) -> None:
        items = [{"key": "a", "value": "x", "offset": 9}]
        content = answer("200 OK", items=items, more=False, end=10)
        result, _ = self.call(lambda log: log.newest(PARTITION), content)
        self.assertEqual(LogFault.REJECTED, result.error.fault)

    def test_a_listing_continues_after_the_last_key_and_returns_the_first_end(self) -> None:
        def listing(key: str, offset: int, end: int, more: bool) -> bytes:
            value = base64.b64encode(b"v").decode()
            items = [{"key": key, "value": value, "offset": offset}]
            return answer("200 OK", items=items, more=more, end=end)

        result, requests = self.call(
            lambda log: log.newest(PARTITION), listing("a", 9, 10, True), listing("b", 3, 12, False)
        )
        self.assertEqual(["b", "a"], [record.key for record in result.ok.records])
        self.assertEqual(10, result.ok.next_offset)
        self.assertIn(b"after_rev=a", requests[1])
