"""Decides which batches this node takes over, and when. Pure.

Any node may claim a batch whose runner is gone: the log accepts one claim an epoch, and a second
run of an item harms nothing. So the node that is likely to go on soonest claims first, and the
others wait in the order of `rendezvous_hash`. Owns since when batches are seen without a runner.
Relies on the list of nodes and `runner_liveness` for the state of each runner.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum

import xxhash

CLAIM_DELAY_PER_RANK_SECONDS = 0.3
"""How much longer each next node waits before it claims: a claim is read back sooner. With 1 s a
rank an open batch was claimed 1.7 s after all nodes had read their views."""

RESTARTED_RUNNER_DELAY_SECONDS = 0.6
"""How long others leave a batch to the restarted process of its runner's machine, which claims it
at once (docs/design/0110)."""

CLAIM_REPEAT_SECONDS = 2.0
"""How long a claim may take to be read back before it is made again."""

MAXIMUM_CLAIM_VIEW_AGE_SECONDS = 3.0
"""From an older view nothing is claimed: the batch may have ended, or another node may run it."""


class RunnerState(IntEnum):
    """Liveness of a batch's runner."""

    RUNS = 0
    MINE_BEFORE = 1
    """An earlier process of this machine: it is certainly gone."""
    RETURNED = 2
    """Its machine runs a newer process, which claims the batch itself if it can."""
    GONE = 3


@dataclass(frozen=True, slots=True)
class OpenBatch:
    """A batch of which something is left to run.

    Attributes
    ----------
    view_age
        How long ago the view of it was complete, in seconds.
    """

    name: str
    runner: str
    view_age: float


class Takeovers:
    """Batches seen without a runner, and the claims made to them.

    Parameters
    ----------
    node
        This node.
    state_of
        Judges the process that is to run a batch.
    """

    def __init__(self, node: str, state_of: Callable[[str], RunnerState]) -> None:
        self._node = node
        self._state_of = state_of
        self._orphaned_since: dict[str, float] = {}
        self._claimed_at: dict[str, float] = {}

    def decide(
        self, batches: Iterable[OpenBatch], replicas: Sequence[str], now: float
    ) -> list[str]:
        """Return the batches to claim now.

        Parameters
        ----------
        batches
            The open ones.
        replicas
            Nodes that may run batches.
        """
        claims: list[str] = []
        orphans: set[str] = set()
        for batch in batches:
            if batch.view_age > MAXIMUM_CLAIM_VIEW_AGE_SECONDS:
                continue
            state = self._state_of(batch.runner)
            if state is RunnerState.RUNS:
                continue
            orphans.add(batch.name)
            since = self._orphaned_since.setdefault(batch.name, now)
            due = since + self._claim_delay(batch.name, state, replicas)
            if now >= due and self._may_claim(batch.name, now):
                self._claimed_at[batch.name] = now
                claims.append(batch.name)
        self._forget_others(orphans)
        return claims

    def rank(self, batch: str, runner: str, replicas: Sequence[str]) -> int:
        """Return this node's rank among those that would take a batch over, its runner aside."""
        others = [node for node in replicas if not runner.startswith(f"{node}#")]
        return self._rank(batch, others)

    def _claim_delay(self, batch: str, state: RunnerState, replicas: Sequence[str]) -> float:
        if state is RunnerState.MINE_BEFORE:
            return 0.0
        returned = RESTARTED_RUNNER_DELAY_SECONDS if state is RunnerState.RETURNED else 0.0
        return returned + self._rank(batch, replicas) * CLAIM_DELAY_PER_RANK_SECONDS

    def _rank(self, batch: str, replicas: Sequence[str]) -> int:
        ranked = sorted(replicas, key=lambda node: rendezvous_hash(batch, node))
        return ranked.index(self._node) if self._node in ranked else len(ranked)

    def _may_claim(self, batch: str, now: float) -> bool:
        return now - self._claimed_at.get(batch, -CLAIM_REPEAT_SECONDS) >= CLAIM_REPEAT_SECONDS

    def _forget_others(self, orphans: set[str]) -> None:
        for known in (self._orphaned_since, self._claimed_at):
            for name in set(known) - orphans:
                del known[name]


def rendezvous_hash(work: str, node: str) -> int:
    """Return a node's place for a piece of work: the smallest one gets it."""
    return xxhash.xxh64_intdigest(f"{work}/{node}".encode())
