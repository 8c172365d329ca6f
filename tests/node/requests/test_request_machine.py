"""Random event orders at two nodes that share a claim register and engines.

Checked against what the engines executed: a request that is not repeatable runs at most once,
`ran: no` is true, each call gets exactly one final answer, and answers are complete.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import (
    AttemptId,
    Incarnation,
    NodeName,
    RequestId,
    RequestKey,
    WeightVersion,
)
from stagewalk.history.answer_text import (
    content_key,
    render_chunk,
    spans_from_text,
    wholeness_fault,
)
from stagewalk.node.claims.notifications import ProposeClaim
from stagewalk.node.core.completions import TokenChunk
from stagewalk.node.core.events import AttemptChunk, AttemptFailed, AttemptFinished, AttemptRefused
from stagewalk.node.core.instructions import CancelAttempt, StartAttempt
from stagewalk.node.requests.config import HedgeConfig, RequestConfig
from stagewalk.node.requests.notifications import (
    RequestChunk,
    RequestFailed,
    RequestFinished,
    RequestJoined,
    SubmissionRejected,
)
from tests.node.requests.support import TENANT, Driver, Identity, request

ANSWER_TOKENS = 12
CHUNK_TOKENS = 3
REQUESTS = ("once-a", "once-b", "again-a", "again-b")
NODES = ("n1", "n2")
CLAIM_OUTCOMES = ("decide", "decide", "decide", "undecided", "undecided_chosen")
INDEX = st.integers(0, 7)
SECONDS = (0.1, 0.5, 0.5, 6.0)
ENGINE_ACTIONS = (
    *("generate",) * 6,
    *("finish",) * 3,
    *("refuse", "cut", "unsent", "lose", "newer", "overlap", "empty", "endless", "foreign"),
)
STEPS = (
    *("submit", "settle_claim", "late_decision", "engine_actions"),
    *("late_event", "advance", "abandon", "kill"),
)
STEP_WEIGHTS = (10, 10, 2, 20, 5, 8, 1, 1)
HEDGING = RequestConfig(hedge=HedgeConfig(minimum_samples=1, minimum_delay_seconds=0.2))


@dataclass
class EngineAttempt:
    """The actual state of an attempt at its engine."""

    node: str
    start: StartAttempt
    executed: bool = False
    ended: bool = False
    sent: list[TokenChunk] = field(default_factory=list)

    @property
    def tokens(self) -> int:
        return self.start.resume_offset + sum(piece.token_count for piece in self.sent)

    def generate(self, version: int) -> TokenChunk:
        prompt, seed = self.start.request.prompt, self.start.request.seed
        end = min(ANSWER_TOKENS, self.tokens + CHUNK_TOKENS)
        version = WeightVersion(version)
        text = render_chunk(content_key(prompt, seed), self.tokens, end, version)
        piece = TokenChunk(len(self.sent), self.tokens, end - self.tokens, text, version)
        self.sent.append(piece)
        self.executed = True
        return piece


@dataclass
class Call:
    key: str
    stream: bool
    text: str = ""


class RequestMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.starts = 0
        self.register: dict[str, bytes] = {}
        self.pending: list[tuple[str, ProposeClaim]] = []
        self.answered: list[tuple[str, ProposeClaim]] = []
        self.attempts: dict[AttemptId, EngineAttempt] = {}
        self.calls: dict[str, list[Call]] = {node: [] for node in NODES}
        self.nodes = {node: self.new_node(node) for node in NODES}

    def new_node(self, name: str) -> Driver:
        self.starts += 1
        identity = Identity(NodeName(name), Incarnation(self.starts))
        driver = Driver(HEDGING, seed=self.starts, identity=identity)
        driver.now = self.now
        driver.report_all()
        return driver

    # Outputs

    def take(self, node: str, outputs: list[object]) -> None:
        for output in outputs:
            match output:
                case StartAttempt():
                    assert output.attempt not in self.attempts, "an attempt id was used twice"
                    self.attempts[output.attempt] = EngineAttempt(node, output)
                case CancelAttempt():
                    self.attempts[output.attempt].ended = True
                    self.attempts[output.attempt].executed = True
                case ProposeClaim():
                    self.pending.append((node, output))
                case _:
                    self.deliver_to_callers(node, output)
        self.check_executions()

    def deliver_to_callers(self, node: str, output: object) -> None:
        match output:
            case RequestJoined():
                if output.held is not None and self.calls[node]:
                    self.calls[node][-1].text += output.held.text
            case RequestChunk():
                for call in self.open_calls(node, output.key.request_id):
                    call.text += output.chunk.text
            case RequestFinished():
                self.answer(node, output)
            case RequestFailed():
                self.check_error(output.key.request_id, output.error)
                self.end_calls(node, output.key.request_id)
            case SubmissionRejected():
                self.check_error(output.key.request_id, output.error)
                assert self.calls[node][-1].key == output.key.request_id
                self.calls[node].pop()

    def open_calls(self, node: str, request_id: str) -> list[Call]:
        return [call for call in self.calls[node] if call.key == request_id]

    def end_calls(self, node: str, request_id: str) -> None:
        self.calls[node] = [call for call in self.calls[node] if call.key != request_id]

    def answer(self, node: str, output: RequestFinished) -> None:
        result = output.result
        fault = wholeness_fault(result.text, self.prompt(output.key.request_id), 5, ANSWER_TOKENS)
        assert fault is None, fault
        assert result.token_count == ANSWER_TOKENS
        assert result.spans == spans_from_text(result.text), "versions are not the true ones"
        for call in self.open_calls(node, output.key.request_id):
            assert not call.stream or call.text == result.text, "a stream lacks a part"
        self.end_calls(node, output.key.request_id)

    def check_error(self, request_id: str, error: StagewalkError) -> None:
        ran = any(
            attempt.executed
            for attempt in self.attempts.values()
            if attempt.start.request.request_id == request_id
        )
        if error.ran is ExecutionStatus.NO and request_id.startswith("once"):
            assert not ran, f"{request_id} ran, but the caller was told that it did not"

    def check_executions(self) -> None:
        for request_id in REQUESTS:
            if request_id.startswith("once"):
                live = [
                    attempt
                    for attempt in self.attempts.values()
                    if attempt.start.request.request_id == request_id
                    and (attempt.executed or not attempt.ended)
                ]
                assert len(live) <= 1, f"{request_id} is sent {len(live)} times"

    @staticmethod
    def prompt(request_id: str) -> str:
        return f"prompt of {request_id}"

    # Callers

    @rule(node=st.sampled_from(NODES), request_id=st.sampled_from(REQUESTS), stream=st.booleans())
    def submit(self, node: str, request_id: str, stream: bool) -> None:
        self.calls[node].append(Call(request_id, stream))
        submitted = request(
            request_id,
            prompt=self.prompt(request_id),
            seed=5,
            repeatable=request_id.startswith("again"),
            stream=stream,
            max_tokens=64,
            deadline=self.now + 20.0,
        )
        self.take(node, self.nodes[node].core.submit(submitted, self.now))

    @precondition(lambda self: self.starts > 2 or len(self.attempts) > 1)
    @rule(node=st.sampled_from(NODES), request_id=st.sampled_from(REQUESTS))
    def abandon(self, node: str, request_id: str) -> None:
        self.end_calls(node, request_id)
        self.take(node, self.nodes[node].core.abandon(key_of(request_id), self.now))

    # Claims

    @precondition(lambda self: self.pending)
    @rule(index=INDEX, outcome=st.sampled_from(CLAIM_OUTCOMES))
    def settle_claim(self, index: int, outcome: str) -> None:
        node, wanted = self.pending.pop(index % len(self.pending))
        if outcome != "undecided":
            self.register.setdefault(wanted.key, wanted.value)
        if outcome == "decide":
            self.decide(node, wanted)
            return
        self.answered.append((node, wanted))
        error = StagewalkError(ErrorKind.TIMEOUT, ErrorStep.CLAIM, "n9", "no majority")
        core = self.nodes[node].core
        self.take(node, core.claim_undecided(wanted.key, error, self.now))

    @precondition(lambda self: self.answered)
    @rule(index=INDEX)
    def late_decision(self, index: int) -> None:
        """Deliver a decision late or again; the entry stays listed so that it can repeat."""
        node, wanted = self.answered[index % len(self.answered)]
        if wanted.key in self.register:
            self.decide(node, wanted)

    def decide(self, node: str, wanted: ProposeClaim) -> None:
        chosen = self.register[wanted.key]
        core = self.nodes[node].core
        won = chosen == wanted.value
        self.answered.append((node, wanted))
        self.take(node, core.claim_decided(wanted.key, chosen, won, self.now))

    # Engines

    def event(self, attempt: EngineAttempt, event: object) -> None:
        node = attempt.node
        self.take(node, self.nodes[node].core.handle(event, self.now))  # type: ignore[arg-type]

    def live(self) -> list[EngineAttempt]:
        return [attempt for attempt in self.attempts.values() if not attempt.ended]

    @precondition(lambda self: self.live())
    @rule(
        index=INDEX,
        acts=st.lists(st.sampled_from(ENGINE_ACTIONS), min_size=1, max_size=6),
    )
    def engine_actions(self, index: int, acts: list[str]) -> None:
        """Apply several actions of one attempt's engine in a row."""
        live = self.live()[-4:]
        attempt = live[index % len(live)]
        for act in acts:
            if not attempt.ended:
                self.apply_engine_action(attempt, act)

    def apply_engine_action(self, attempt: EngineAttempt, act: str) -> None:
        match act:
            case "generate" | "newer" | "lose":
                self.generate(attempt, 2 if act == "newer" else 1, act == "lose")
            case "overlap" | "empty" | "endless" | "foreign":
                self.send_bad_chunk(attempt, act)
            case "finish":
                self.finish(attempt)
            case "refuse" if not attempt.executed:
                attempt.ended = True
                self.event(attempt, AttemptRefused(attempt.start.attempt, "full", 0.5))
            case "cut":
                attempt.executed = attempt.ended = True
                self.event(attempt, AttemptFailed(attempt.start.attempt, True, "reset"))
            case "unsent" if not attempt.executed:
                attempt.ended = True
                self.event(attempt, AttemptFailed(attempt.start.attempt, False, "no route"))

    @precondition(lambda self: any(attempt.sent for attempt in self.attempts.values()))
    @rule(index=INDEX, piece_index=INDEX)
    def late_event(self, index: int, piece_index: int) -> None:
        """Deliver a chunk or final frame again, or one that was lost before."""
        sent = [attempt for attempt in self.attempts.values() if attempt.sent]
        attempt = sent[-4:][index % len(sent[-4:])]
        if attempt.ended and attempt.tokens >= ANSWER_TOKENS:
            event = AttemptFinished(attempt.start.attempt, ANSWER_TOKENS, "stop")
            self.event(attempt, event)
        piece = attempt.sent[piece_index % len(attempt.sent)]
        self.event(attempt, AttemptChunk(attempt.start.attempt, piece))

    def generate(self, attempt: EngineAttempt, version: int, lost: bool) -> None:
        if attempt.tokens < ANSWER_TOKENS:
            piece = attempt.generate(version)
            if not lost:
                self.event(attempt, AttemptChunk(attempt.start.attempt, piece))

    def send_bad_chunk(self, attempt: EngineAttempt, bad: str) -> None:
        if not attempt.sent:
            return
        following = replace(attempt.sent[-1], sequence=len(attempt.sent))
        attempt_id = attempt.start.attempt
        match bad:
            case "overlap":
                piece = replace(following, offset=following.offset + 1)
            case "empty":
                piece = replace(following, token_count=0)
            case "endless":
                piece = replace(following, token_count=1000)
            case _:
                piece, attempt_id = attempt.generate(1), AttemptId("of nobody")
        self.event(attempt, AttemptChunk(attempt_id, piece))

    def finish(self, attempt: EngineAttempt) -> None:
        while attempt.tokens < ANSWER_TOKENS and not attempt.ended:
            self.generate(attempt, 1, False)
        if not attempt.ended:
            attempt.ended = True
            event = AttemptFinished(attempt.start.attempt, ANSWER_TOKENS, "stop")
            self.event(attempt, event)

    # Time and restarts

    @rule(seconds=st.sampled_from(SECONDS), reports=st.booleans())
    def advance(self, seconds: float, reports: bool) -> None:
        for node, driver in sorted(self.nodes.items()):
            driver.now = self.now
            self.take(node, driver.advance(seconds, reports, step=0.5))
        self.now += seconds

    @precondition(lambda self: len(self.attempts) > 2)
    @rule(node=st.sampled_from(NODES))
    def kill(self, node: str) -> None:
        """Kill a process with its state and start a new one with the same name."""
        self.calls[node] = []
        for attempt in self.attempts.values():
            if attempt.node == node and not attempt.ended:
                attempt.executed = attempt.ended = True
        self.pending = [(owner, wanted) for owner, wanted in self.pending if owner != node]
        self.nodes[node] = self.new_node(node)

    def teardown(self) -> None:
        """Check that every call has its final answer soon after the last deadline."""
        for _ in range(5):
            self.advance(5.0, True)
        for node in NODES:
            assert not self.calls[node], "a call has no final answer"
            core = self.nodes[node].core
            assert core.in_flight_count() == 0
            assert self.nodes[node].admission.in_flight_count() == 0
            assert self.nodes[node].admission.waiting_count() == 0


def key_of(request_id: str) -> RequestKey:
    return RequestKey(TENANT, RequestId(request_id))


def run_random_steps(generator: random.Random, steps: int) -> None:
    """Run the machine's rules at random without Hypothesis, which is slower."""
    machine = RequestMachine()
    for _ in range(steps):
        index, other = generator.randrange(8), generator.randrange(8)
        node, request_id = generator.choice(NODES), generator.choice(REQUESTS)
        match generator.choices(STEPS, STEP_WEIGHTS)[0]:
            case "submit":
                machine.submit(node, request_id, generator.random() < 0.5)
            case "settle_claim" if machine.pending:
                machine.settle_claim(index, generator.choice(CLAIM_OUTCOMES))
            case "late_decision" if machine.answered:
                machine.late_decision(index)
            case "engine_actions" if machine.live():
                acts = generator.choices(ENGINE_ACTIONS, k=generator.randint(1, 4))
                machine.engine_actions(index, acts)
            case "late_event" if any(attempt.sent for attempt in machine.attempts.values()):
                machine.late_event(index, other)
            case "advance":
                machine.advance(generator.choice(SECONDS), generator.random() < 0.8)
            case "abandon":
                machine.abandon(node, request_id)
            case "kill":
                machine.kill(node)
    machine.teardown()


class RequestMachineTest(testtools.TestCase):
    def test_random_orders_of_events(self) -> None:
        run_state_machine_as_test(
            RequestMachine, settings=settings(max_examples=40, stateful_step_count=40)
        )

    def test_long_random_walks(self) -> None:
        for seed in range(120):
            run_random_steps(random.Random(seed), 150)
