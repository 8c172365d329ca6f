"""Buffers of open calls."""

from __future__ import annotations

import anyio
import testtools

from stagewalk.common.errors import ErrorKind
from stagewalk.common.identities import CallId, WeightVersion
from stagewalk.node.core.completions import TokenChunk
from stagewalk.node.core.instructions import FinishCall, SendChunk
from stagewalk.node.open_calls import OpenCall, OpenCalls, TextDelta
from tests.node.echo_core import whole


def chunk(call: CallId, text: str) -> SendChunk:
    return SendChunk(call, TokenChunk(0, 0, 1, text, WeightVersion(1)))


class OpenCallsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.calls = OpenCalls(2, 10)

    def open(self, streaming: bool = True) -> OpenCall:
        return self.calls.open(streaming).ok

    def test_waiting_chunks_are_joined_and_come_before_the_end(self) -> None:
        call = self.open()
        for text in "abc":
            self.calls.send_chunk(chunk(call.id, text))
        last = FinishCall(call.id, whole("abc"))
        self.calls.end(last)
        self.assertEqual(TextDelta("abc"), anyio.run(call.next_answer))
        self.assertEqual(last, anyio.run(call.next_answer))

    def test_overflow_ends_the_call_once_and_drops_the_rest(self) -> None:
        call = self.open()
        cuts: list[int] = []
        call.on_overflow(lambda: cuts.append(1))
        for text in ("12345", "67890", "x", "y"):
            self.calls.send_chunk(chunk(call.id, text))
        self.calls.end(FinishCall(call.id, whole("abc")))
        self.assertEqual(([1], True, False), (cuts, call.overflowed, call.ended))

    def test_a_call_without_streaming_gets_no_chunks(self) -> None:
        call = self.open(streaming=False)
        self.calls.send_chunk(chunk(call.id, "x" * 100))
        last = FinishCall(call.id, whole("abc"))
        self.calls.end(last)
        self.assertEqual(last, anyio.run(call.next_answer))

    def test_closed_and_ended_calls_ignore_further_answers(self) -> None:
        call, ended = self.open(), self.open()
        self.calls.close(call)
        self.calls.end(FinishCall(call.id, whole("late")))
        self.assertFalse(call.ended)
        first = FinishCall(ended.id, whole("first"))
        self.calls.end(first)
        self.calls.end(FinishCall(ended.id, whole("second")))
        self.assertEqual(first, anyio.run(ended.next_answer))

    def test_limit_and_exit_refuse_new_calls(self) -> None:
        self.open(), self.open()
        self.assertEqual(ErrorKind.OVERLOADED, self.calls.open(True).error.kind)
        self.calls.closed = True
        self.assertEqual(ErrorKind.STOPPING, self.calls.open(True).error.kind)
