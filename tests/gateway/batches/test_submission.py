"""Items that can't be sent to a worker are refused before their batch is accepted."""

from __future__ import annotations

import dataclasses

import msgspec
import testtools

from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.batches.submission import find_unsendable
from stagewalk.gateway.scoring.records import ScoreCall
from tests.gateway.batches.support import item

CALL = ScoreCall("c", "h.example", "/score/c", b"")

UNSENDABLE: tuple[tuple[dict, str], ...] = (
    ({"item": ""}, "id"),
    ({"item": "Zarq\u0101\u02be"}, "id"),
    ({"path": ""}, "path"),
    ({"path": "run/x"}, "path"),
    ({"path": "/run/x\x07"}, "path"),
    ({"path": "/run/a b"}, "path"),
    ({"headers": (("x-place", "Zarq\u0101\u02be"),)}, "headers['x-place']"),
    ({"headers": (("x-place", "a\nb"),)}, "headers['x-place']"),
    ({"headers": (("x place", "a"),)}, "headers['x place']"),
    ({"headers": (("", "a"),)}, "headers['']"),
    ({"headers": (("Host", "other"),)}, "headers['Host']"),
    ({"headers": (("transfer-encoding", "chunked"),)}, "headers['transfer-encoding']"),
    ({"score_call": msgspec.structs.replace(CALL, call="Zarq\u0101\u02be")}, "score_call.id"),
    ({"score_call": msgspec.structs.replace(CALL, host="h\r\n")}, "score_call.host"),
    ({"score_call": msgspec.structs.replace(CALL, path="/sc\tore")}, "score_call.path"),
)


class SubmissionTests(testtools.TestCase):
    def test_the_item_the_field_and_the_fault_are_named(self) -> None:
        good = item("good")
        self.assertIsNone(find_unsendable([good]))
        for changes, field in UNSENDABLE:
            bad: BatchItem = msgspec.structs.replace(item("bad"), **changes)
            error = find_unsendable([good, bad])
            assert error is not None, changes
            self.assertEqual(f"items[1].{field}", error.field)
            self.assertIn(repr(bad.item), error.detail)
            self.assertNotEqual("", dataclasses.replace(error).detail.rpartition(field)[2])
