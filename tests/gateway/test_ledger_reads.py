"""A replica never answers for another node from a view that is too old."""

from __future__ import annotations

import anyio
import testtools

from stagewalk.batches.ledger import BatchLedger
from stagewalk.batches.records import ItemFinished
from stagewalk.gateway.ledger_messages import (
    LedgerAnswer,
    ResultsCall,
    decode_answer,
    encode_message,
)
from stagewalk.gateway.ledger_reads import LedgerReads
from stagewalk_standins.plain_dialect import PlainDialect
from tests.batches.support import item, submitted


class CutOffStore:
    """A replica's view that is some time old and can't be brought up to date."""

    following = True

    def __init__(self, age: float, ages_while_waiting: float = 0.0) -> None:
        self.ledger = BatchLedger(lambda _batch, _change: None)
        self.ledger.apply(submitted(item("x"), item("y")), 0.0)
        self.ledger.apply(ItemFinished("b", "x", True, "t", (1,)), 0.0)
        self._age = age
        self._ages_while_waiting = ages_while_waiting

    def view_age(self, _batch: str, _now: float) -> float:
        return self._age

    async def catch_up(self, _batch: str) -> bool:
        return False

    async def wait_for_news(self, _batch: str, _seconds: float) -> None:
        self._age += self._ages_while_waiting


def passed_on(store: CutOffStore, call: ResultsCall) -> LedgerAnswer:
    content = anyio.run(LedgerReads(store, PlainDialect()).handle, encode_message(call))
    answer = decode_answer(content)
    assert answer is not None
    return answer


class LedgerReadsTests(testtools.TestCase):
    def test_a_cut_off_replica_is_unsure_where_the_node_itself_would_still_answer(self) -> None:
        """Found on the grown site: a position read elsewhere was empty at a replica cut off."""
        call = ResultsCall("b", 1, 0.0)
        self.assertTrue(passed_on(CutOffStore(1.5), call).unsure)
        own = anyio.run(LedgerReads(CutOffStore(1.5), PlainDialect()).carry_out, call)
        self.assertEqual(200, own.status)

    def test_a_fresh_replica_answers(self) -> None:
        self.assertEqual(200, passed_on(CutOffStore(0.2), ResultsCall("b", 0, 0.0)).status)

    def test_one_that_is_cut_off_while_it_waits_for_news_is_unsure(self) -> None:
        store = CutOffStore(0.2, ages_while_waiting=1.0)
        self.assertTrue(passed_on(store, ResultsCall("b", 1, 1.0)).unsure)
