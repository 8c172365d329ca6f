"""Records written by an earlier release can be read, and are encoded to the same bytes.

`kept_records.json` holds payloads by kind, as a log may still hold them.
"""

from __future__ import annotations

import base64
import json
from pathlib import Path

import msgspec
import testtools

from stagewalk.common.identities import SampleSlotKey, TenantName
from stagewalk.node.claims import placement
from stagewalk.node.configuration.records import decode_change, encode_change
from stagewalk.node.configuration.state import decode_snapshot, encode_snapshot
from stagewalk.node.leases import state_machine
from stagewalk.node.requests.claim_value import decode_claim, encode_claim
from stagewalk.node.samples.sample_codec import decode_sample, encode_sample

KEPT = json.loads(Path(__file__).with_name("kept_records.json").read_text())

SLOT = SampleSlotKey(TenantName("thornfield"), "trainer", 1, "p-0", 0)

CODECS = {
    "change": (lambda payload: decode_change(payload).ok, encode_change),
    "claim": (decode_claim, encode_claim),
    "lease": (
        lambda p: msgspec.json.decode(p, type=state_machine.Record),
        state_machine.encode_record,
    ),
    "placement": (
        lambda p: msgspec.json.decode(p, type=placement.PlacementRecord),
        placement.encode_record,
    ),
    "sample": (lambda payload: decode_sample(SLOT, payload, 0.0), encode_sample),
    "snapshot": (decode_snapshot, encode_snapshot),
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
