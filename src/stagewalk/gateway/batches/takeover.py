"""Decides which batches this node takes over, and when. Pure.

Any node may claim a batch whose runner is gone: the log accepts one claim per epoch, and running an
item twice is harmless. The restarted process of the runner's machine claims first, since it can
resume soonest; the other nodes wait in the order of `rendezvous_hash`. The caller judges the state
of each runner.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum

import xxhash

CLAIM_DELAY_PER_RANK_SECONDS = 0.3
"""How much longer each next node in rank waits before it claims: enough for the claim of the node
before it to be read from the log."""

RESTARTED_RUNNER_DELAY_SECONDS = 0.6
"""How long other nodes wait for the restarted process of the runner's machine, which claims the
batch at once (docs/design/0110)."""

CLAIM_REPEAT_SECONDS = 2.0
"""A claim that wasn't read back from the log within this time is repeated."""

MAXIMUM_CLAIM_VIEW_AGE_SECONDS = 3.0
"""Nothing is claimed from an older view: the batch may have ended, or another node may run it."""


class RunnerState(IntEnum):
    """Liveness of a batch's runner."""

    RUNS = 0
    MINE_BEFORE = 1
    """An earlier process of this machine, which is certainly gone."""
    RETURNED = 2
    """Its machine runs a newer process, which claims the batch itself if it can."""
    GONE = 3


@dataclass(frozen=True, slots=True)
class OpenBatch:
    """A batch with items left to run.

    Attributes
    ----------
    view_age
        Seconds since this node's view of the batch was up to date.
    """

    name: str
    runner: str
    view_age: float


class Takeovers:
    """Tracks batches without a runner, and this node's claims to them.

    Parameters
    ----------
    node
        The name of this node.
    state_of
        Returns the state of a batch's runner.
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
            The open batches.
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
        """Return this node's rank among those that would take a batch over, without its runner."""
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
    """Return a node's rendezvous hash for a piece of work, which goes to the smallest one."""
    return xxhash.xxh64_intdigest(f"{work}/{node}".encode())
