"""A node that starts behind its earlier start, since its time of day was ahead then."""

from __future__ import annotations

from stagewalk.history.checker_verdict import Promise
from tests.process.layout import Plan
from tests.process.stage import ProcessTest, Stage

AHEAD_SECONDS = 3_600.0
"""The time of day doesn't pass the earlier start within the test."""


class ClockStepTest(ProcessTest):
    def test_a_node_that_starts_behind_its_earlier_start_goes_on(self) -> None:
        """It stopped as superseded by the dead process, after each restart again."""

        async def scenario(stage: Stage) -> None:
            await stage.at(1.0)
            name = stage.node_names[0]
            stage.kill(name)
            stage.start_again(name, AHEAD_SECONDS)
            await stage.ready_again(name)
            stage.kill(name)
            stage.start_again(name)
            await stage.ready_again(name)

        stage = self.play(scenario, Plan(load_seconds=12.0))
        self.judge(stage, Promise.AT_MOST_ONCE, Promise.WHOLE_ANSWER, Promise.CONFIG_IN_FORCE)
