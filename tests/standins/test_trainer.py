"""Tests of trainer failover and of restarts from a checkpoint."""

from __future__ import annotations

from pathlib import Path
from unittest import mock

import anyio
import httpx
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from stagewalk.history.answer_text import wholeness_fault
from stagewalk.history.observations import (
    AnyObservation,
    SampleAccepted,
    StepCompleted,
    StepStarted,
    VersionPublished,
    read_history,
)
from stagewalk_standins import trainer as trainer_module
from stagewalk_standins.history_file import HistoryFile
from stagewalk_standins.node_pool import NodePool, parse_nodes
from stagewalk_standins.trainer import Trainer, TrainerOptions
from stagewalk_standins.trainer_checkpoint import CheckpointFile
from stagewalk_standins.weight_server import WeightServer
from tests.standins.fake_node import FakeNode, HostTransport
from tests.standins.temporary import temporary_directory

OPTIONS = TrainerOptions(
    tenant="t",
    trainer="trainer",
    model="m",
    steps=3,
    prompts=3,
    samples_per_prompt=2,
    max_tokens=50,
    train_seconds=0.0,
    look_ahead=True,
    deadline_seconds=60.0,
    weights_url="http://weights",
    size_bytes=1000,
)
SLOTS = 6


class Killed(Exception):
    """Raised in place of a kill."""


class MortalHistory(HistoryFile):
    """Raises `Killed` instead of writing its n-th line."""

    def __init__(self, path: Path, lines: int) -> None:
        super().__init__(path)
        self._lines_left = lines

    def write_line(self, line: bytes) -> None:
        if self._lines_left == 0:
            raise Killed
        self._lines_left -= 1
        super().write_line(line)


class TrainerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch.object(trainer_module, "RETRY_SECONDS", 0.001)
        patch.start()
        self.addCleanup(patch.stop)

    def prepare(self) -> None:
        directory = temporary_directory(self)
        self.history = directory / "trainer.history"
        self.checkpoint = directory / "trainer.checkpoint"
        self.node, self.other = FakeNode(), FakeNode()
        self.weights = WeightServer(1e9, 1)
        self.weights.publish("m", 1, 1000)

    def run_trainer(self, nodes: str, lines: int = 10**9) -> None:
        hosts = HostTransport(
            node=self.node.application(),
            other=self.other.application(),
            weights=self.weights.application(),
        )
        checkpoint = CheckpointFile(self.checkpoint, MortalHistory(self.history, lines))

        async def run() -> None:
            async with httpx.AsyncClient(transport=hosts) as client:
                pool = NodePool(parse_nodes(nodes))
                await Trainer(OPTIONS, pool, client, checkpoint).run()

        anyio.run(run)

    def check_history(self) -> list[AnyObservation]:
        history = read_history([self.history])
        samples = [each for each in history if isinstance(each, SampleAccepted)]
        slots = [(each.step, each.prompt_id, each.sample_index) for each in samples]
        self.assertEqual(OPTIONS.steps * SLOTS, len(slots))
        self.assertEqual(len(slots), len(set(slots)))
        for each in samples:
            fault = wholeness_fault(each.text, each.prompt, each.seed, each.expected_tokens)
            self.assertIsNone(fault)
        steps = list(range(1, OPTIONS.steps + 1))
        self.assertEqual(steps, [each.step for each in history if isinstance(each, StepStarted)])
        self.assertEqual(steps, [each.step for each in history if isinstance(each, StepCompleted)])
        published = [each.version for each in history if isinstance(each, VersionPublished)]
        self.assertEqual([2, 3, 4], published)
        return history

    def test_samples_name_the_version_held_and_their_age(self) -> None:
        self.prepare()
        self.run_trainer("http://node")
        for each in self.check_history():
            if isinstance(each, SampleAccepted):
                self.assertEqual(each.step, each.trainer_version)
                # The look-ahead lot was submitted and answered at the previous version.
                superseded = each.spans[0].version < each.trainer_version
                self.assertEqual(superseded, each.age_seconds > 0.0)

    def test_unreachable_node_is_passed_over(self) -> None:
        self.prepare()
        self.run_trainer("http://dead,other=http://other")
        self.check_history()
        self.assertEqual([], self.node.submitted)

    def test_lot_that_a_node_forgot_is_submitted_again_with_the_cursor_kept(self) -> None:
        self.prepare()
        with self.assertRaises(Killed):
            self.run_trainer("http://node", lines=4)
        self.node.lots.clear()
        self.run_trainer("http://node")
        self.check_history()

    @settings(max_examples=25)
    @given(st.lists(st.integers(0, 9), max_size=6))
    def test_each_sample_is_observed_once_whenever_the_trainer_dies(self, lives: list[int]) -> None:
        self.prepare()
        for lines in lives:
            try:
                self.run_trainer("http://node", lines)
            except Killed:
                continue
            break
        self.run_trainer("http://node")
        self.check_history()
