"""Stateful test that each slot is delivered exactly once and no sample exceeds its staleness bound.

The state machine simulates trainer, engines, scorer, claim register, weight store and network for
two nodes. The trainer has one open pull at a time, drops an answer that is delayed by more than the
margin, and adopts the cursor together with the samples.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.common.identities import CallId, RequestId, SampleSlotKey, WeightVersion
from stagewalk.node.claims.notifications import ProposeClaim, ReadClaim
from stagewalk.node.core.completions import CompletionResult, VersionSpan
from stagewalk.node.core.events import SampleScored, SampleScoringFailed
from stagewalk.node.core.instructions import (
    DeliverSamples,
    FailCall,
    ReadVersions,
    ScoreSample,
)
from stagewalk.node.core.rollouts import SamplePage
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.samples.core import LotCore
from stagewalk.node.samples.notifications import CancelRollout, StartRollout
from stagewalk.node.samples.settlement import LotOutput
from tests.node.samples.world import MODEL, make_core, make_lot, make_pull

CONFIG = LotConfig(
    hand_over_margin_seconds=2.0,
    news_lag_seconds=2.0,
    idle_pause_seconds=20.0,
    pulled_pause_seconds=10.0,
    retained_bytes=1000,
)
BOUND_VERSIONS = 1
BOUND_SECONDS = 40.0
SLOTS = 6
NODES = ("a", "b")
MOST_WORK_AT_ONCE = 60
FAILURE = StagewalkError(ErrorKind.ENGINE_FAILED, ErrorStep.EXECUTION, "engine", "failed")
NO_MAJORITY = StagewalkError(ErrorKind.TIMEOUT, ErrorStep.CLAIM, "replicas", "no majority")


@dataclass
class Node:
    """A node's core and its incarnation."""

    core: LotCore
    incarnation: int = 1


@dataclass
class Answer:
    call: CallId
    batch: SamplePage | None
    sent_at: float
    version: int


class TrainerAndNodes(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.generator = random.Random(3)
        self.nodes = {name: Node(self._start(name)) for name in NODES}
        self.home = NODES[0]
        self.register: dict[str, bytes] = {}
        self.published = {1: 0.0, 2: 1.0, 3: 50.0}
        self.store_up = True
        self.engine_version = 3
        self.work: list[tuple[str, LotOutput]] = []
        self.answers: list[Answer] = []
        self.calls = 0
        self.open_call: CallId | None = None
        self.named: dict[CallId, tuple[int, float]] = {}
        self.step = 1
        self.cursor = ""
        self.version = 3
        self.accepted: dict[SampleSlotKey, int] = {}
        self.steps_done = 0

    def _start(self, name: str) -> LotCore:
        return make_core(
            name,
            CONFIG,
            staleness_bound_versions=BOUND_VERSIONS,
            staleness_bound_seconds=BOUND_SECONDS,
        )

    @initialize()
    def begin(self) -> None:
        self._submit()

    # The trainer.

    @rule()
    def pull(self) -> None:
        self._pull(2.0)

    @rule(behind=st.integers(0, 1), seconds=st.sampled_from([0.0, 1.0, 6.0]))
    def things_go_well(self, behind: int, seconds: float) -> None:
        self._end_all_work(behind)
        self._pass(seconds)
        self._pull(0.0)
        for answer in list(self.answers):
            self._take_answer(answer)

    @rule()
    def go_to_other_node(self) -> None:
        self.home = NODES[1 - NODES.index(self.home)]

    @rule(step=st.integers(0, 1))
    def submit_again_or_ahead(self, step: int) -> None:
        self._submit(self.step + step)

    @precondition(lambda self: self.answers)
    @rule(data=st.data())
    def answer_arrives(self, data: st.DataObject) -> None:
        self._take_answer(data.draw(st.sampled_from(self.answers)))

    @precondition(lambda self: self.answers)
    @rule(data=st.data())
    def answer_is_lost(self, data: st.DataObject) -> None:
        self.answers.remove(data.draw(st.sampled_from(self.answers)))

    # Engines, scorer, claims: each piece of work ends well or badly, in any order.

    @precondition(lambda self: self.work)
    @rule(data=st.data(), behind=st.integers(0, 2), mixed=st.booleans())
    def work_ends(self, data: st.DataObject, behind: int, mixed: bool) -> None:
        item = data.draw(st.sampled_from(self.work))
        self.work.remove(item)
        self._end_work(*item, behind, mixed)

    @rule(behind=st.integers(0, 1))
    def all_work_ends(self, behind: int) -> None:
        self._end_all_work(behind)

    @precondition(lambda self: self.work)
    @rule(data=st.data())
    def work_fails(self, data: st.DataObject) -> None:
        item = data.draw(st.sampled_from(self.work))
        self.work.remove(item)
        name, wanted = item
        core = self.nodes[name].core
        match wanted:
            case StartRollout(request):
                self._take(name, core.request_failed(request.request_id, FAILURE, self.now))
            case ScoreSample(sample_id=sample_id):
                failed = SampleScoringFailed(sample_id, FAILURE)
                self._take(name, core.handle(failed, self.now))
            case ProposeClaim(key=key, value=value):
                if self.generator.random() < 0.5:
                    self.register.setdefault(key, value)
                self._take(name, core.claim_undecided(key, NO_MAJORITY, self.now))

    # The world.

    @rule(seconds=st.sampled_from([0.1, 0.5, 3.0, 12.0, 45.0]))
    def time_passes(self, seconds: float) -> None:
        self._pass(seconds)

    @rule(name=st.sampled_from(NODES))
    def node_restarts(self, name: str) -> None:
        self.nodes[name] = Node(self._start(name))
        self.work = [item for item in self.work if item[0] != name]

    @rule()
    def another_trainer_publishes(self) -> None:
        self._publish()

    @rule()
    def engines_swap(self) -> None:
        self.engine_version = max(self.published)

    @rule()
    def trainer_learns_newest(self) -> None:
        if self.open_call is None:
            self.version = max(self.published)

    @rule(up=st.booleans())
    def store_changes(self, up: bool) -> None:
        self.store_up = up

    @invariant()
    def memory_is_bounded(self) -> None:
        for node in self.nodes.values():
            assert len(node.core._store.lots) <= CONFIG.retained_steps + 2

    def teardown(self) -> None:
        """With all faults over, the step is completed."""
        self.store_up = True
        done = self.steps_done
        for _ in range(60):
            if self.steps_done > done:
                return
            self.engine_version = max(self.published)
            self._pass(1.0)
            self._end_all_work(0)
            self.answers.clear()
            self._pull(0.0)
            for answer in list(self.answers):
                self._take_answer(answer)
        raise AssertionError("the step does not become whole")

    def _submit(self, step: int | None = None) -> None:
        step = self.step if step is None else step
        lot = make_lot(step=step, version=self.version, prompts=3, samples=2)
        call = self._call()
        self._take(self.home, self.nodes[self.home].core.submit(call, lot, self.now))

    def _pull(self, wait: float) -> None:
        call = self._call()
        self.open_call = call
        self.named[call] = (self.version, self.now)
        pull = make_pull(self.cursor, self.step, self.version, 3, self.now + wait)
        self._take(self.home, self.nodes[self.home].core.pull(call, pull, self.now))

    def _take_answer(self, answer: Answer) -> None:
        self.answers.remove(answer)
        if answer.call != self.open_call:
            return
        self.open_call = None
        if self.now - answer.sent_at > CONFIG.hand_over_margin_seconds:
            return
        if answer.batch is None:
            self._submit()
            return
        for sample in answer.batch.samples:
            assert sample.slot not in self.accepted, f"{sample.slot} accepted twice"
            assert sample.slot.step == self.step
            oldest = sample.oldest_version
            assert answer.version - oldest <= BOUND_VERSIONS, "too many versions behind"
            superseded = self.published.get(oldest + 1)
            if superseded is not None:
                assert self.now - superseded <= BOUND_SECONDS, "too old"
            self.accepted[sample.slot] = oldest
        self.cursor = answer.batch.cursor
        if answer.batch.complete:
            held = [slot for slot in self.accepted if slot.step == self.step]
            assert len(held) == SLOTS, "complete without all slots"
            self.step += 1
            self.steps_done += 1
            self.cursor = ""
            self._publish()
            self.version = max(self.published)
            self._submit()

    def _publish(self) -> None:
        self.published[max(self.published) + 1] = self.now

    def _pass(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + 1.0)
            for name in NODES:
                self._take(name, self.nodes[name].core.tick(self.now))

    def _end_all_work(self, behind: int) -> None:
        for _ in range(MOST_WORK_AT_ONCE):
            if self.work:
                self._end_work(*self.work.pop(0), behind, False)

    def _end_work(self, name: str, wanted: LotOutput, behind: int, mixed: bool) -> None:
        core = self.nodes[name].core
        match wanted:
            case StartRollout(request):
                version = max(1, self.engine_version - behind)
                minimum = request.minimum_version or 1
                if version < minimum and behind == 0:
                    error = StagewalkError(ErrorKind.NO_ENGINE, ErrorStep.ROUTING, "n", "none")
                    output = core.request_failed(request.request_id, error, self.now)
                    self._take(name, output)
                    return
                spans = [VersionSpan(WeightVersion(version), 4)]
                if mixed and version < self.engine_version:
                    spans.append(VersionSpan(WeightVersion(version + 1), 4))
                result = CompletionResult("text", 4 * len(spans), tuple(spans), "stop")
                self._take(name, core.request_finished(request.request_id, result, self.now))
            case ScoreSample(sample_id=sample_id):
                self._take(name, core.handle(SampleScored(sample_id, 0.5), self.now))
            case ProposeClaim(key=key, value=value):
                chosen = self.register.setdefault(key, value)
                decided = core.claim_decided(key, chosen, self.now)
                self._take(name, decided)
            case ReadClaim(key=key):
                if key in self.register:
                    decided = core.claim_decided(key, self.register[key], self.now)
                    self._take(name, decided)

    def _take(self, name: str, output: list[LotOutput]) -> None:
        for item in output:
            match item:
                case DeliverSamples(call=call, batch=batch):
                    version, _ = self.named[call]
                    self.answers.append(Answer(call, batch, self.now, version))
                case FailCall(call=call, error=error):
                    assert error.kind is ErrorKind.UNKNOWN_LOT, str(error)
                    self.answers.append(Answer(call, None, self.now, 0))
                case ReadVersions():
                    if self.store_up:
                        newest = WeightVersion(max(self.published))
                        core = self.nodes[name].core
                        self._take(name, core.record_published_version(MODEL, newest, self.now))
                case CancelRollout(request_id=request_id):
                    self.work = [item for item in self.work if _request_id(item[1]) != request_id]
                case StartRollout() | ScoreSample() | ProposeClaim() | ReadClaim():
                    self.work.append((name, item))

    def _call(self) -> CallId:
        self.calls += 1
        return CallId(f"call-{self.calls}")


def _request_id(item: LotOutput) -> RequestId | None:
    return item.request.request_id if isinstance(item, StartRollout) else None


ExactlyOnceTest = TrainerAndNodes.TestCase
ExactlyOnceTest.settings = settings(max_examples=25, stateful_step_count=40, deadline=None)
