"""Applies this node's target roles and the poll intervals that they need.

Owns the transitions between roles: replica of the batch ledger, candidate for the duty lease,
listed to callers. Relies on `directory` for the rules that assign them.
"""

from __future__ import annotations

import math

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.directory.ledger_replicas import ReplicaRole
from stagewalk.gateway.directory.poll_intervals import (
    LISTED_POLL_INTERVALS,
    PollIntervals,
    poll_intervals,
)
from stagewalk.gateway.duties.duty_lease import DutyLease
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.published_records import PublishedRecords
from stagewalk.gateway.runners.batch_runner import BatchRunner


class LogReserve:
    """A period after the start in which log reads are reserved for runners that resume batches."""

    def __init__(self) -> None:
        self._ends_at = -math.inf

    def hold_until(self, at: float) -> None:
        """Reserve the log until a time of the steady clock."""
        self._ends_at = at

    @property
    def active(self) -> bool:
        """Whether the log is still reserved."""
        return steady_seconds() < self._ends_at


class RoleController:
    """Changes this node's roles according to the currently known nodes."""

    def __init__(
        self,
        nodes: NodeService,
        store: BatchStore,
        runner: BatchRunner,
        duties: DutyLease,
        published: PublishedRecords,
        *,
        log_reserve: LogReserve,
    ) -> None:
        self._nodes = nodes
        self._store = store
        self._runner = runner
        self._duties = duties
        self._published = published
        self._replica = ReplicaRole()
        self._log_reserve = log_reserve
        self._pace = LISTED_POLL_INTERVALS

    @property
    def pace(self) -> PollIntervals:
        """Return the current poll intervals."""
        return self._pace

    def update(self, stopping: bool, now: float) -> None:
        """Apply the current target roles."""
        roles = self._nodes.target_roles()
        self._nodes.set_listed(roles.listed and not stopping)
        busy = self._runner.busy or self._duties.held
        if self._replica.update(roles.replica and not stopping, busy, now):
            serving = len(self._nodes.serving())
            log_event("replica_role", holds=self._replica.announced, serving=serving)
            self._nodes.set_replica(self._replica.announced)
        follows_lease = self._replica.following(now)
        if follows_lease != self._duties.following:
            self._duties.set_following(follows_lease)
        following = follows_lease and not self._log_reserve.active
        if following != self._store.following:
            self._store.set_following(following)
        self._set_pace(poll_intervals(following, self._nodes.listed))

    def _set_pace(self, pace: PollIntervals) -> None:
        if pace != self._pace:
            self._pace = pace
            self._nodes.set_pause(pace.nodes_pause_seconds)
            self._published.set_pace(pace)
