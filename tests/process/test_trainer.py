"""A trainer that is killed, and its node killed before the trainer acknowledged a delivery."""

from __future__ import annotations

from stagewalk.history.checker_verdict import Promise
from stagewalk.history.observations import AnyObservation, StepCompleted
from stagewalk_standins.forwarder_faults import LinkFaults
from tests.process.layout import Plan
from tests.process.stage import ProcessTest, Stage

TRAINERS_NODE = "node-3"
SPARE_NODES = ("node-1", "node-2")


class TrainerFaultsTest(ProcessTest):
    def test_answers_dropped_then_node_and_trainer_killed(self) -> None:
        async def scenario(stage: Stage) -> None:
            await stage.eventually(lambda: _steps(stage.history()) >= 1, "a step", 20.0)
            await self.drop_answers(stage)
            stage.kill(TRAINERS_NODE)
            await stage.eventually(lambda: _steps(stage.history()) >= 2, "a second step", 20.0)
            stage.start_again(TRAINERS_NODE)
            stage.kill("trainer")
            stage.start_again("trainer")
            done = _steps(stage.history())
            await stage.eventually(lambda: _steps(stage.history()) > done, "a later step", 20.0)

        stage = self.play(scenario, Plan(load_seconds=10.0))
        self.judge(stage, Promise.EXACTLY_ONCE, Promise.STALENESS_BOUND, Promise.VERSION_NAMED)

    async def drop_answers(self, stage: Stage) -> None:
        """Drop the nodes' answers to the trainer, and check that every node lost some."""
        names = [f"edge-{name}" for name in (TRAINERS_NODE, *SPARE_NODES)]
        for name in names:
            await stage.set_link(name, LinkFaults(drop_answers=True))
        await stage.at(9.0)
        dropped = [(await stage.link_counts(name)).answers_dropped for name in names]
        self.assertGreater(min(dropped), 0)
        for name in names:
            await stage.set_link(name)


def _steps(history: list[AnyObservation]) -> int:
    return sum(isinstance(item, StepCompleted) for item in history)
