"""Batches, items and routes for tests."""

from __future__ import annotations

import msgspec

from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.ledger import BatchLedger, LedgerChange
from stagewalk.gateway.batches.records import BatchHeader, BatchItem, BatchSubmitted
from stagewalk.gateway.routes.route import BackEnd, Route, RouteKind
from stagewalk.gateway.scoring.records import ScoreCall


def header(batch: str = "b", minimum: int = 1, model: str = "m") -> BatchHeader:
    return BatchHeader(batch, "h.example", "/run/", 0, model, minimum, 1)


def item(name: str, expected: int = 0, group: str = "g") -> BatchItem:
    return BatchItem(name, f"/run/{name}", (("a", "b"),), b"body", group, "m", expected)


def submitted(
    *items: BatchItem, batch: str = "b", runner: str = "n#1", minimum: int = 1
) -> BatchSubmitted:
    return BatchSubmitted(header(batch, minimum), "s1", 0, 1, runner, tuple(items))


def batch_route(single_version: bool = False) -> Route:
    return Route(
        name="r",
        host="h.example",
        path_prefix="/run/",
        kind=RouteKind.BATCH,
        back_ends=(BackEnd("s", 1.0),),
        timeout_seconds=10.0,
        target_seconds=0.4,
        maximum_attempts=3,
        give_up_seconds=40.0,
        due_seconds=7.5,
        single_version=single_version,
    )


class RecordingLedger:
    """A ledger that records its changes."""

    def __init__(self) -> None:
        self.changes: list[LedgerChange] = []
        self.ledger = BatchLedger(self._note)

    def _note(self, batch: Batch, change: LedgerChange) -> None:
        self.changes.append(change)

    def open(self, record: BatchSubmitted) -> Batch:
        self.ledger.apply(record, 0.0)
        batch = self.ledger.get(record.header.batch)
        assert batch is not None
        return batch


def scored_item(name: str, call: str = "") -> BatchItem:
    """Return an item that asks for a score."""
    score_call = ScoreCall(call or f"{name}-score", "h.example", f"/score/{name}", b"score me")
    return msgspec.structs.replace(item(name), score_call=score_call)
