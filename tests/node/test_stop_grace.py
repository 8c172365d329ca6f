"""A stopping node ends within its grace period, and tells what became of the calls in flight."""

from __future__ import annotations

import anyio
import httpx
import testtools

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.node.settings import Timing
from tests.node.running_node import RunningNode, asynchronous, eventually, running_node

GRACE_SECONDS = 2.0
ASK = {"model": "qari", "tenant": "archive", "deadline_seconds": 30.0}


class StopGraceTests(testtools.TestCase):
    async def stopped_within_grace(self, node: RunningNode) -> None:
        """Stop a node with one open call, and check that it ends in time."""

        async def opened() -> bool:
            return len(node.core.open) == 1

        await eventually(opened)
        began = steady_seconds()
        await node.daemon.request_stop()
        with anyio.move_on_after(2.0 * GRACE_SECONDS):
            await node.ended.wait()
        self.assertLess(steady_seconds() - began, GRACE_SECONDS)

    @asynchronous
    async def test_a_call_in_flight_at_the_end_gets_an_error_with_an_unknown_outcome(self) -> None:
        answers: list[httpx.Response] = []

        async def ask(node: RunningNode) -> None:
            answers.append(await node.post("/v1/completions", ASK | {"prompt": "hang"}))

        async with running_node(timing=Timing(stop_grace=GRACE_SECONDS)) as node:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, node)
                await self.stopped_within_grace(node)
            self.assertEqual("unknown", answers[0].json()["ran"])
            self.assertIn("exits", answers[0].json()["detail"])

    @asynchronous
    async def test_a_stream_in_flight_at_the_end_is_broken_off(self) -> None:
        broken: list[bool] = []

        async def ask(node: RunningNode) -> None:
            try:
                await node.post("/v1/completions", ASK | {"prompt": "drip", "stream": True})
            except httpx.RemoteProtocolError:
                broken.append(True)

        async with running_node(timing=Timing(stop_grace=GRACE_SECONDS)) as node:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, node)
                await self.stopped_within_grace(node)
            self.assertEqual([True], broken)
