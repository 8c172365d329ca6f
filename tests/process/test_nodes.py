"""Nodes that hold leases are paused for longer than the lease, or killed."""

from __future__ import annotations

from collections import defaultdict

import anyio
import msgspec

from stagewalk.history.checker_verdict import Promise
from stagewalk.history.observations import AnyObservation, OrderObeyed, RecordAppended
from stagewalk.node.leases.state_machine import LEASE_STREAM
from tests.process.layout import MODEL, Plan
from tests.process.stage import ProcessTest, Stage

ROLLOUT_DUTY = f"rollout/{MODEL}"
AWAKE_SECONDS = 1.0
"""Time for the resumed former holder to act on its stale lease."""


class LeaseRecord(msgspec.Struct):
    type: str
    duty: str
    epoch: int


class DutyHoldersTest(ProcessTest):
    def test_holders_paused_and_killed(self) -> None:
        async def scenario(stage: Stage) -> None:
            await stage.eventually(lambda: bool(stage.holder(ROLLOUT_DUTY)), "a holder", 10.0)
            first = stage.holder(ROLLOUT_DUTY)
            await stage.publish_version(2)
            async with stage.paused(first):
                await stage.eventually(
                    lambda: stage.holder(ROLLOUT_DUTY) != first, "a second holder", 20.0
                )
                await stage.eventually(
                    lambda: _obeyed(stage.history(), 2), "the second holder's orders", 20.0
                )
            second = stage.holder(ROLLOUT_DUTY)
            await stage.publish_version(20)
            await anyio.sleep(AWAKE_SECONDS)
            stage.kill(second)
            await stage.publish_version(30)
            stage.start_again(second)
            await stage.eventually(
                lambda: _obeyed(stage.history(), 3), "the third holder's orders", 20.0
            )

        stage = self.play(scenario, Plan(load_seconds=15.0))
        self.judge(stage, Promise.AT_MOST_ONCE, Promise.WHOLE_ANSWER, Promise.CONFIG_IN_FORCE)
        self.require_no_stale_order(stage.history())

    def require_no_stale_order(self, history: list[AnyObservation]) -> None:
        """An order must carry an epoch that the log granted, never one older than the last."""
        granted: set[int] = set()
        newest: defaultdict[tuple[str, int], int] = defaultdict(int)
        for item in history:
            if isinstance(item, RecordAppended) and item.stream == LEASE_STREAM:
                record = msgspec.json.decode(item.payload, type=LeaseRecord)
                if record.type == "acquire" and record.duty == ROLLOUT_DUTY:
                    granted.add(record.epoch)
            elif isinstance(item, OrderObeyed):
                engine = (item.engine, item.incarnation)
                self.assertIn(item.epoch, granted)
                self.assertGreaterEqual(item.epoch, newest[engine])
                newest[engine] = item.epoch


def _obeyed(history: list[AnyObservation], epoch: int) -> bool:
    return any(isinstance(item, OrderObeyed) and item.epoch >= epoch for item in history)
