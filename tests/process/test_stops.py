"""Planned stops of every node and engine under load, while the machine list is down.

Nodes learn of the stops from the stopping processes only.
"""

from __future__ import annotations

import anyio

from stagewalk.history.checker_verdict import Promise
from stagewalk.history.observations import EngineLeaving, PlannedStopBegan
from tests.process.layout import Plan
from tests.process.stage import ProcessTest, Stage

LEAVE_SECONDS = 5.0
"""Longer than the time within which a leaving engine may still receive work."""


class PlannedStopsTest(ProcessTest):
    def test_every_node_and_engine_stopped_in_turn(self) -> None:
        async def scenario(stage: Stage) -> None:
            await stage.at(1.0)
            for node, engine in zip(stage.node_names, stage.engine_names, strict=True):
                await stage.set_service("machines", down=True)
                async with anyio.create_task_group() as stops:
                    stops.start_soon(stage.operator.restart_gracefully, node)
                    stops.start_soon(stage.operator.restart_gracefully, engine)
                await stage.set_service("machines", down=False)
                await stage.ready_again(node)

        plan = Plan(load_seconds=22.0, engine_flags=(f"--leave_seconds={LEAVE_SECONDS}",))
        stage = self.play(scenario, plan)
        self.judge(stage, Promise.PLANNED_STOP_CLEAN, Promise.LEAVING_NO_WORK)
        history = stage.history()
        stopped = {item.process for item in history if isinstance(item, PlannedStopBegan)}
        self.assertLessEqual({*stage.node_names, *stage.engine_names}, stopped)
        left = {item.engine for item in history if isinstance(item, EngineLeaving)}
        self.assertEqual({*stage.engine_names}, left)
