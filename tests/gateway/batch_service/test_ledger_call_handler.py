"""A replica never answers a relayed call from a view that is too old."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import testtools

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchIndex
from stagewalk.gateway.batch_service.ledger_call_handler import LedgerCallHandler
from stagewalk.gateway.batch_service.ledger_messages import (
    LedgerAnswer,
    ResultsCall,
    decode_answer,
    encode_message,
)
from stagewalk.gateway.batches.ledger import BatchLedger
from stagewalk.gateway.batches.records import ItemFinished
from tests.gateway.batches.support import item, submitted
from tests.gateway.memory_log import MemoryLog
from tests.gateway.plain_dialect import PlainDialect

GROUPS = 5
ITEMS_PER_GROUP = 8
WANTED_GROUPS = 4
DUE_SECONDS = 7.5
EMPTY_INDEX = BatchIndex(MemoryLog().client())


class CutOffStore:
    """A replica's view of a given age that can't be brought up to date."""

    following = True
    lacks_history = staticmethod(lambda _batch, _now: False)

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

    async def wait_for_change(self, _batch: str, _seconds: float) -> None:
        self._age += self._ages_while_waiting


def relay(store: CutOffStore, call: ResultsCall) -> LedgerAnswer:
    content = anyio.run(
        LedgerCallHandler(store, PlainDialect(), EMPTY_INDEX).handle, encode_message(call)
    )
    answer = decode_answer(content)
    assert answer is not None
    return answer


class RelayedReadsTests(testtools.TestCase):
    def test_a_cut_off_replica_refuses_relayed_calls_sooner_than_its_own(self) -> None:
        """A replica that is cut off must not return an empty page for results read elsewhere."""
        call = ResultsCall("b", 1, 0.0)
        self.assertTrue(relay(CutOffStore(1.5), call).inconclusive)
        own = anyio.run(
            LedgerCallHandler(CutOffStore(1.5), PlainDialect(), EMPTY_INDEX).execute, call
        )
        self.assertEqual(200, own.status)

    def test_a_replica_with_a_recent_view_answers(self) -> None:
        self.assertEqual(200, relay(CutOffStore(0.2), ResultsCall("b", 0, 0.0)).status)

    def test_a_replica_that_is_cut_off_while_it_waits_is_inconclusive(self) -> None:
        store = CutOffStore(0.2, ages_while_waiting=1.0)
        self.assertTrue(relay(store, ResultsCall("b", 1, 1.0)).inconclusive)


class GrowingStore:
    """A replica's view of a step whose items finish one after the other."""

    following = True
    lacks_history = staticmethod(lambda _batch, _now: False)

    def __init__(self, groups: int, items: int) -> None:
        self.ledger = BatchLedger(lambda _batch, _change: None)
        self._names = [f"{group}-{n}" for group in range(groups) for n in range(items)]
        record = submitted(*(item(name) for name in self._names))
        specs = tuple(msgspec.structs.replace(spec, group=spec.item[0]) for spec in record.items)
        header = msgspec.structs.replace(record.header, wanted_groups=WANTED_GROUPS)
        self.ledger.apply(
            msgspec.structs.replace(record, items=specs, header=header), steady_seconds()
        )
        self.batch = self.ledger.get("b")
        self._changed_event = anyio.Event()

    def finish(self, count: int) -> None:
        done = len(self.batch.results)
        for name in self._names[done : done + count]:
            self.ledger.apply(ItemFinished("b", name, True, "t", (1,)), 0.0)
        self._changed_event.set()
        self._changed_event = anyio.Event()

    async def finish_later(self, count: int, seconds: float) -> None:
        await anyio.sleep(seconds)
        self.finish(count)

    def view_age(self, _batch: str, _now: float) -> float:
        return 0.0

    async def catch_up(self, _batch: str) -> bool:
        return True

    async def wait_for_change(self, _batch: str, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await self._changed_event.wait()


def answer_items(answer: LedgerAnswer) -> list[object]:
    return msgspec.json.decode(answer.content)["results"]


class HeldReadTests(testtools.TestCase):
    """Reads of a step's last results wait until its trainer can continue."""

    def play(self, scenario: Callable[[LedgerCallHandler, GrowingStore], Awaitable[None]]) -> None:
        async def main() -> None:
            store = GrowingStore(GROUPS, ITEMS_PER_GROUP)
            reads = LedgerCallHandler(
                store, PlainDialect(), EMPTY_INDEX, lambda _batch: DUE_SECONDS, hold_results=True
            )
            await scenario(reads, store)

        anyio.run(main)

    def test_a_read_near_the_end_waits_for_the_wanted_groups(self) -> None:
        async def scenario(reads: LedgerCallHandler, store: GrowingStore) -> None:
            store.finish(30)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.finish_later, 1, 0.1)
                tasks.start_soon(store.finish_later, 1, 0.3)
                answer = await reads.execute(ResultsCall("b", 29, 1.0))
            # Four groups are complete with the 32nd result.
            self.assertEqual(3, len(answer_items(answer)))

        self.play(scenario)

    def test_a_read_from_the_start_or_early_in_a_step_is_answered_at_once(self) -> None:
        async def scenario(reads: LedgerCallHandler, store: GrowingStore) -> None:
            for done, position in ((10, 9), (31, 0)):
                store.finish(done - len(store.batch.results))
                with anyio.fail_after(0.1):
                    answer = await reads.execute(ResultsCall("b", position, 1.0))
                self.assertEqual(done - position, len(answer_items(answer)))

        self.play(scenario)

    def test_a_held_read_is_answered_at_its_timeout_and_when_the_step_is_due(self) -> None:
        async def scenario(reads: LedgerCallHandler, store: GrowingStore) -> None:
            store.finish(31)
            for wait, longest in ((0.2, 0.4), (1.0, 0.4)):
                store.batch.seen_at = steady_seconds() - (DUE_SECONDS - 0.2 if wait == 1.0 else 0.0)
                began = steady_seconds()
                answer = await reads.execute(ResultsCall("b", 30, wait))
                self.assertEqual(1, len(answer_items(answer)))
                self.assertLess(steady_seconds() - began, longest)

        self.play(scenario)
