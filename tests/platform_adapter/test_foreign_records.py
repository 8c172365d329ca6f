"""Invalid records in the store neither raise an exception nor announce a worker."""

from __future__ import annotations

import copy
import json
import os

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from stagewalk.gateway.batches.records import decode_record
from stagewalk.gateway.cold_starts.leases import decode_cold_lease
from stagewalk.gateway.directory.node_table import decode_announcement
from stagewalk.gateway.ports.partitioned_log import KeyedRecord
from stagewalk.gateway.quarantine.records import decode_crash_record
from stagewalk_platform.dialect import PlatformDialect

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 3,
    "born": 1_768_511_182_237,
    "models": [{"name": "m", "version": 2}],
}
ADDRESSES = ("", "10.0.0.1", ":80", "host:80", "10.0.0.1:0", "10.0.0.1:99999", "1.2.3:80")
ADDRESSES += ("10.0.0.1:-1", "10.0.0.1:+8", "10.0.0.1:8 0", "10.0.0.1:\u0668\u0660")
REQUIRED = [name for name in ENTRY if name not in ("born", "models")]
GENERATED = int(os.environ.get("GENERATED_RECORDS", "500"))
"""Examples for each generated test."""

DIALECT = PlatformDialect()
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
RECORDS = st.binary(max_size=200) | JSON.map(lambda value: json.dumps(value).encode())


def announced(entry: object, key: str = "i-1"):
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return DIALECT.decode_worker_announcement(KeyedRecord(key, value, 1))


class WorkerEntryTests(testtools.TestCase):
    def test_a_valid_entry_announces_a_worker(self) -> None:
        worker = announced(ENTRY)
        assert worker is not None
        self.assertEqual(("i-1@1768511182237", "i-1"), (worker.worker, worker.listed_as))

    def test_an_entry_without_a_start_time_is_valid(self) -> None:
        entry = {name: value for name, value in ENTRY.items() if name != "born"}
        worker = announced(entry)
        assert worker is not None
        self.assertEqual(("i-1", "i-1"), (worker.worker, worker.listed_as))

    def test_an_entry_that_lacks_a_field_is_invalid(self) -> None:
        for name in REQUIRED:
            entry = copy.deepcopy(ENTRY)
            del entry[name]
            self.assertIsNone(announced(entry), name)

    def test_a_field_out_of_range_or_of_the_wrong_type_is_invalid(self) -> None:
        wrong = {
            "service": ("", 7, None, ["s"]),
            "address": (*ADDRESSES, 80),
            "zone": ("", None, 3),
            "version": (1, None),
            "slots": (0, -3, 1.5, "4", True, None, 10**9),
            "state": ("", "READY", "gone", None, 1),
            "cold_remaining_ms": (-1, "0", None, 1e12),
            "sequence": (-1, "3", None, 1.5),
            "born": (-1, 1.5, "1768511182237", True, [], 2**60),
            "models": ("m", [1], [{"name": "m"}], [{"name": "m", "version": -1}], {"m": 1}),
        }
        for name, values in wrong.items():
            for value in values:
                self.assertIsNone(announced({**ENTRY, name: value}), f"{name}={value!r}")

    def test_a_key_that_is_empty_or_not_utf8_is_invalid(self) -> None:
        for key in ("", "i-\ufffd"):
            self.assertIsNone(announced(ENTRY, key))

    def test_a_deeply_nested_or_huge_entry_is_invalid(self) -> None:
        deep = b'{"a":' * 100_000
        self.assertIsNone(announced(deep))
        self.assertIsNone(announced(b'{"service":' + b"[" * 100_000 + b"]" * 100_000 + b"}"))
        self.assertIsNone(announced(json.dumps({**ENTRY, "slots": 10**400}).encode()))

    @settings(max_examples=GENERATED)
    @given(RECORDS)
    def test_no_generated_entry_is_used_or_raises(self, value: bytes) -> None:
        self.assertIsNone(announced(value))

    @settings(max_examples=GENERATED)
    @given(st.sampled_from([name for name in ENTRY if name != "models"]), JSON)
    def test_one_generated_field_is_used_only_if_it_may_be_a_workers(
        self, name: str, value: object
    ) -> None:
        worker = announced(json.dumps({**ENTRY, name: value}).encode())
        if worker is not None:
            self.assertIs(type(ENTRY[name]), type(value) if name != "cold_remaining_ms" else int)


class OtherRecordTests(testtools.TestCase):
    @settings(max_examples=GENERATED)
    @given(st.sampled_from(["config", "version/m", "evacuate/z1", "x", ""]), RECORDS)
    def test_what_operators_publish(self, key: str, value: bytes) -> None:
        DIALECT.decode_operator_record(KeyedRecord(key, value, 1))

    @settings(max_examples=GENERATED)
    @given(RECORDS)
    def test_what_nodes_tell_each_other(self, value: bytes) -> None:
        for decode in (decode_crash_record, decode_announcement, decode_cold_lease, decode_record):
            decode(value)
