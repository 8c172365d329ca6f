"""Tests of the caller: retries, and the recorded outcome of each request."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any
from unittest import mock

import anyio
import httpx
import testtools

from stagewalk.history.answer_text import wholeness_fault
from stagewalk.history.observations import (
    AnyObservation,
    RequestAnswered,
    RequestCut,
    RequestRefused,
    RequestSent,
    read_history,
)
from stagewalk_standins import caller as caller_module
from stagewalk_standins.caller import Caller, CallerOptions
from stagewalk_standins.history_file import HistoryFile
from stagewalk_standins.node_pool import NodePool, parse_nodes
from stagewalk_standins.web import problem_response
from tests.standins.fake_node import FakeNode, HostTransport
from tests.standins.temporary import temporary_directory

OPTIONS = CallerOptions(
    caller="c",
    tenant="t",
    model="m",
    rate=200.0,
    duration_seconds=0.2,
    deadline_seconds=20.0,
    max_tokens=40,
    streaming_fraction=0.5,
    non_repeatable_fraction=0.5,
    impatient_fraction=0.0,
    sends=3,
    prefixes=2,
)


class CallerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch.object(caller_module, "RETRY_DELAY_SECONDS", 0.001)
        patch.start()
        self.addCleanup(patch.stop)
        self.first, self.second = FakeNode(), FakeNode()

    def run_caller(self, nodes: str) -> list[AnyObservation]:
        file = temporary_directory(self) / "caller.history"
        hosts = HostTransport(first=self.first.application(), second=self.second.application())

        async def run() -> None:
            async with httpx.AsyncClient(transport=hosts) as client:
                pool = NodePool(parse_nodes(nodes))
                caller = Caller(OPTIONS, pool, client, HistoryFile(file), random.Random(3))
                await caller.run(anyio.Event())

        anyio.run(run)
        return read_history([file])

    def kinds(self, history: list[AnyObservation]) -> Counter[type[Any]]:
        return Counter(type(each) for each in history)

    def test_each_request_is_sent_once_and_answered_whole(self) -> None:
        history = self.run_caller("n1=http://first")
        sent = {each.request_id: each for each in history if isinstance(each, RequestSent)}
        answered = [each for each in history if isinstance(each, RequestAnswered)]
        self.assertGreater(len(sent), 0)
        self.assertEqual(sorted(sent), sorted(each.request_id for each in answered))
        for each in answered:
            asked = sent[each.request_id]
            fault = wholeness_fault(each.text, asked.prompt, asked.seed, asked.expected_tokens)
            self.assertIsNone(fault)
            self.assertEqual("n1", each.node)
        modes = {(body["stream"], body["repeatable"]) for body in self.first.completion_bodies}
        self.assertEqual(4, len(modes))

    def test_broken_stream_is_recorded_as_cut_and_retried_through_another_node(self) -> None:
        self.first.break_streams = 1
        history = self.run_caller("n1=http://first,n2=http://second")
        kinds = self.kinds(history)
        self.assertEqual(1, kinds[RequestCut])
        self.assertEqual(kinds[RequestSent], kinds[RequestAnswered] + 1)
        cut = next(each for each in history if isinstance(each, RequestCut))
        again = [each for each in history if getattr(each, "request_id", "") == cut.request_id]
        self.assertEqual(["n1", "n1", "n2", "n2"], [each.node for each in again])

    def test_final_error_is_recorded_as_received(self) -> None:
        self.first.refusal = problem_response(400, "invalid_request", "no", "no")
        history = self.run_caller("n1=http://first,n2=http://second")
        kinds = self.kinds(history)
        self.assertGreater(kinds[RequestSent], 0)
        self.assertEqual(kinds[RequestSent], kinds[RequestRefused])
        refusals = [each for each in history if isinstance(each, RequestRefused)]
        self.assertEqual({("no", "invalid_request")}, {(each.ran, each.kind) for each in refusals})

    def test_transient_refusal_is_retried_through_another_node(self) -> None:
        self.first.refusal = problem_response(503, "stopping", "come back", "no", 1.0)
        kinds = self.kinds(self.run_caller("n1=http://first,n2=http://second"))
        self.assertGreater(kinds[RequestAnswered], 0)
        self.assertEqual(kinds[RequestRefused], kinds[RequestAnswered])
        self.first.refusal = problem_response(503, "stopping", "come back", "unknown")
        kinds = self.kinds(self.run_caller("n1=http://first,n2=http://second"))
        self.assertEqual(0, kinds[RequestAnswered])

    def test_unreachable_node_is_not_recorded_as_cut(self) -> None:
        history = self.run_caller("dead=http://dead,n2=http://second")
        kinds = self.kinds(history)
        self.assertEqual(0, kinds[RequestCut])
        self.assertEqual(kinds[RequestSent], 2 * kinds[RequestAnswered])
