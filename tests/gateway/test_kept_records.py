"""Records and messages of an earlier release are decoded, and encoded to the same bytes.

`kept_records.json` holds payloads by kind. Logs keep old records, and gateways of two releases run
side by side during an upgrade.
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

KEPT_RECORDS = json.loads(Path(__file__).with_name("kept_records.json").read_text())


def encode_record_itself(record: object) -> bytes:
    return record.encode()


def decode_call_or_answer(messages: object) -> Callable[[bytes], object]:
    """Return a decoder of messages that may be calls or answers."""
    return lambda payload: messages.decode_call(payload) or messages.decode_answer(payload)


CODECS = {
    "batch": (batch_records.decode_record, batch_records.encode_record),
    "cold_lease": (decode_cold_lease, encode_record_itself),
    "crash": (decode_crash_record, encode_record_itself),
    "duty_lease": (decode_lease_record, encode_record_itself),
    "ledger_message": (decode_call_or_answer(ledger_messages), ledger_messages.encode_message),
    "node": (decode_announcement, encode_record_itself),
    "relay_message": (decode_call_or_answer(relay_messages), relay_messages.encode_message),
    "runner_message": (decode_call_or_answer(runner_messages), runner_messages.encode_message),
    "usage": (usage_records.decode_usage, encode_record_itself),
    "usage_counts": (usage_records.decode_counts, usage_records.encode_counts),
}


class KeptRecordsTest(testtools.TestCase):
    def test_records_of_an_earlier_release_round_trip(self) -> None:
        for kept in KEPT_RECORDS:
            decode, encode = CODECS[kept["kind"]]
            payload = base64.b64decode(kept["payload"])
            record = decode(payload)
            self.assertIsNotNone(record, kept)
            self.assertEqual(payload, encode(record), kept)

    def test_every_kind_has_a_kept_record(self) -> None:
        self.assertEqual(set(CODECS), {kept["kind"] for kept in KEPT_RECORDS})
