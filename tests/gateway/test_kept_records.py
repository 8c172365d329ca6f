"""Records and messages as an earlier release wrote them are read, and written the same way.

`kept_records.json` holds payloads by kind; a log may hold such records for as long as it lives, and
gateways of two releases run beside each other while one replaces the other.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from pathlib import Path

import testtools

from stagewalk.gateway.batch_service import ledger_messages
from stagewalk.gateway.batches import records as batch_records
from stagewalk.gateway.cold_starts.leases import decode_cold_lease
from stagewalk.gateway.directory.node_table import decode_announcement
from stagewalk.gateway.leases.log_lease import decode_lease_record
from stagewalk.gateway.log_relay import messages as relay_messages
from stagewalk.gateway.quarantine.records import decode_crash_record
from stagewalk.gateway.runners import runner_messages
from stagewalk.gateway.usage import records as usage_records

KEPT = json.loads(Path(__file__).with_name("kept_records.json").read_text())


def encode_itself(record: object) -> bytes:
    return record.encode()


def either(messages: object) -> Callable[[bytes], object]:
    """Return a decoder of calls and answers, whose types a message does not name."""
    return lambda payload: messages.decode_call(payload) or messages.decode_answer(payload)


CODECS = {
    "batch": (batch_records.decode_record, batch_records.encode_record),
    "cold_lease": (decode_cold_lease, encode_itself),
    "crash": (decode_crash_record, encode_itself),
    "duty_lease": (decode_lease_record, encode_itself),
    "ledger_message": (either(ledger_messages), ledger_messages.encode_message),
    "node": (decode_announcement, encode_itself),
    "relay_message": (either(relay_messages), relay_messages.encode_message),
    "runner_message": (either(runner_messages), runner_messages.encode_message),
    "usage": (usage_records.decode_usage, encode_itself),
    "usage_counts": (usage_records.decode_counts, usage_records.encode_counts),
}


class KeptRecordsTest(testtools.TestCase):
    def test_records_of_an_earlier_release_are_read_and_written_the_same(self) -> None:
        for kept in KEPT:
            decode, encode = CODECS[kept["kind"]]
            payload = base64.b64decode(kept["payload"])
            record = decode(payload)
            self.assertIsNotNone(record, kept)
            self.assertEqual(payload, encode(record), kept)

    def test_every_kind_is_kept(self) -> None:
        self.assertEqual(set(CODECS), {kept["kind"] for kept in KEPT})
