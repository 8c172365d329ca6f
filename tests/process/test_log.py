"""The log is down, slow or loses answers while operators publish concurrently under load."""

from __future__ import annotations

import anyio

from stagewalk.history.checker_verdict import Promise
from stagewalk.history.observations import (
    AnyObservation,
    PublishAnswered,
    RequestAnswered,
    RequestSent,
    SampleAccepted,
)
from stagewalk_standins.forwarder_faults import BOTH_WAYS, LinkFaults
from tests.process.layout import Plan
from tests.process.stage import ProcessTest, Stage

OUTAGE_SECONDS = 5.0


class LogFaultsTest(ProcessTest):
    def test_log_down_then_slow_and_publishes_raced(self) -> None:
        async def scenario(stage: Stage) -> None:
            await stage.at(1.0)
            before = stage.history()[-1].at
            await stage.operator.set_log_down(OUTAGE_SECONDS)
            self.require_service_between(stage.history(), before + 1.0, before + OUTAGE_SECONDS)
            await stage.set_service("log", delay_seconds=0.5, lose_every=3)
            await stage.set_link("log-node-2", LinkFaults(black_holes=BOTH_WAYS))
            async with anyio.create_task_group() as publishers:
                for change in ("advice", "policy", "advice-more", "policy-more"):
                    partner = "growers" if "advice" in change else "archive"
                    publishers.start_soon(stage.publish, change, partner)
            self.assertTrue(await stage.operator.wait_applied(6))
            self.assertGreater((await stage.link_counts("log-node-2")).pieces_held, 0)

        stage = self.play(scenario, Plan(load_seconds=14.0))
        self.judge(stage, Promise.CONFIG_IN_FORCE, Promise.AT_MOST_ONCE, Promise.EXACTLY_ONCE)
        answers = [each for each in stage.history() if isinstance(each, PublishAnswered)]
        self.assertEqual(6, len(answers))

    def require_service_between(
        self, history: list[AnyObservation], begin: float, end: float
    ) -> None:
        """Check that non-repeatable requests are answered and samples arrive during the fault."""
        once = {e.request_id for e in history if isinstance(e, RequestSent) and not e.repeatable}
        during = [each for each in history if begin <= each.at <= end]
        answered = [e for e in during if isinstance(e, RequestAnswered) and e.request_id in once]
        self.assertGreater(len(answered), 0)
        self.assertGreater(len([e for e in during if isinstance(e, SampleAccepted)]), 0)
