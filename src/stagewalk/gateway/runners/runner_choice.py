"""Chooses which process runs a batch that is submitted here.

Owns how many nodes are asked. Inputs: the nodes that may hold the batch, in the order of
`rendezvous_hash` for its trainer, and how many items of other trainers each of them runs. Relies on
`runner_calls` to ask them, since a node that is still listed may be gone.
"""

from __future__ import annotations

from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.batches.batch import NO_RUNNER
from stagewalk.gateway.batches.records import BatchHeader
from stagewalk.gateway.batches.takeover import rendezvous_hash
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.nodes.identity import OwnIdentity, ProcessId, parse_process_id
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.runners.batch_runner import BatchRunner
from stagewalk.gateway.runners.runner_calls import RunnerClient
from stagewalk.gateway.runners.runner_messages import RunnerAnswer

NODES_ASKED = 2
"""Nodes that may be asked to run one batch: the trainer's preferred one and the next."""


class RunnerChoice:
    """Asks nodes whether they would run a batch, and answers such calls for this node."""

    def __init__(
        self,
        *,
        identity: OwnIdentity,
        nodes: NodeService,
        runner: BatchRunner,
        calls: RunnerClient,
        policy: Policy,
    ) -> None:
        self._identity = identity
        self._nodes = nodes
        self._runner = runner
        self._calls = calls
        self._policy = policy

    async def choose(self, header: BatchHeader) -> str | None:
        """Return the process that is to run a batch submitted here now.

        None if no live node that may hold it is known; `NO_RUNNER` leaves it to the node that
        claims it.

        All batches of one trainer go to the same node while it is live: it has open connections to
        the engines, and sees all of the trainer's load. If that node runs items of other trainers,
        the next one is asked as well, and the less busy of the two is chosen.
        """
        trainer = header.trainer
        ranked = sorted(
            self._nodes.replicas(), key=lambda node: rendezvous_hash(trainer, node.node)
        )
        answers: list[RunnerAnswer] = []
        for node in ranked[:NODES_ASKED]:
            answer = await self._ask(node, trainer)
            if answer is None:
                continue
            answers.append(answer)
            if answer.other_items == 0 or not self._policy.spread_trainers:
                break
        if answers:
            return min(answers, key=lambda answer: answer.other_items).process
        if not self._nodes.may_hold_batches:
            return NO_RUNNER if ranked else None
        return NO_RUNNER if self._runner.stopping else str(self._identity)

    def describe(self, trainer: str) -> RunnerAnswer:
        """Return whether this process runs batches, and its load from other trainers."""
        willing = not self._runner.stopping and self._nodes.known
        return RunnerAnswer(
            str(self._identity), willing, self._runner.attempts_for_other_trainers(trainer)
        )

    async def _ask(self, node: NodeAnnouncement, trainer: str) -> RunnerAnswer | None:
        """Return a node's answer if it is willing to run a trainer's batch."""
        if node.node == self._identity.node:
            return None if self._runner.stopping else self.describe(trainer)
        if node.peer_address is None or not self._policy.ask_runner:
            return RunnerAnswer(str(ProcessId(node.node, node.incarnation)), willing=True)
        answer = await self._calls.ask(node.peer_address, trainer)
        if answer is None or not answer.willing:
            log_event("runner_declined", "warning", runner=node.node, answered=answer is not None)
            return None
        identity = parse_process_id(answer.process)
        return answer if identity is not None and identity.node == node.node else None
