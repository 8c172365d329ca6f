"""Follows the records of operators, trainers and workers, and applies them to this node's state.

Owns two followers, their poll intervals and the age of their views. Relies on the dialect to decode
records; routes, workers, rollouts, evacuations and cold starts hold the state.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.cold_starts.core import OLDEST_VIEW_SECONDS as OLDEST_WARM_VIEW_SECONDS
from stagewalk.gateway.cold_starts.core import ColdStarts
from stagewalk.gateway.dialect import Dialect, NamedVersion, OperatorRecord, ZoneEvacuation
from stagewalk.gateway.directory.poll_intervals import (
    IDLE_POLL_INTERVALS,
    LISTED_POLL_INTERVALS,
    OLDEST_VIEW_SECONDS,
    REFRESH_TIMEOUT_SECONDS,
    PollIntervals,
)
from stagewalk.gateway.partitioned_log.freshness import Freshness
from stagewalk.gateway.partitioned_log.keyed_follower import KeyedFollower
from stagewalk.gateway.ports.partitioned_log import KeyedRecord, PartitionedLog
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.version_rollouts.core import VersionRollouts
from stagewalk.gateway.workers.table import WorkerChange, WorkerTable
from stagewalk.gateway.workers.worker import Worker, WorkerAnnouncement
from stagewalk.gateway.zones.evacuations import Evacuations

MAXIMUM_OPERATOR_VIEW_AGE_SECONDS = 2.0
"""An older view of operators' records is refreshed before a request is served; twice the usual
interval of reads (1 s). A process that was suspended would serve requests by stale routes, keys and
evacuations otherwise."""

MAXIMUM_LOGGED_UNUSABLE = 256
"""Maximum number of keys remembered because their unusable entry was logged; bounds memory. Entries
of further keys are logged at each read."""


class PublishedRecords:
    """Updates routes, workers, named versions and evacuations from the newest records."""

    def __init__(
        self,
        log: PartitionedLog,
        dialect: Dialect,
        routes: RouteTable,
        workers: WorkerTable,
        rollouts: VersionRollouts,
        *,
        evacuations: Evacuations,
        cold: ColdStarts,
    ) -> None:
        self._dialect = dialect
        self._evacuations = evacuations
        self._cold = cold
        evacuations.listen(_log_zone_evacuated, _log_zone_restored)
        self._routes = routes
        self._workers = workers
        self._pace = LISTED_POLL_INTERVALS
        self._listing = False
        self._logged_unusable: set[str] = set()
        self._rollouts = rollouts
        self._operators_follower = KeyedFollower(
            log,
            dialect.operators,
            self._replace_published,
            self._apply_published,
            wait_seconds=LISTED_POLL_INTERVALS.configuration_wait_seconds,
            on_confirm=_GapDetector(cold.views_renewed),
        )
        self._workers_follower = KeyedFollower(
            log,
            dialect.workers,
            self._replace_workers,
            self._apply_worker,
            pause_seconds=LISTED_POLL_INTERVALS.workers_pause_seconds,
            on_confirm=_GapDetector(cold.views_renewed),
        )
        workers.listen(self)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the followers."""
        tasks.start_soon(self._operators_follower.run)
        tasks.start_soon(self._workers_follower.run)

    @property
    def freshness(self) -> tuple[Freshness, Freshness]:
        """Return the freshness of the views of operators' records and of workers."""
        return self._operators_follower.freshness, self._workers_follower.freshness

    @property
    def workers_freshness(self) -> Freshness:
        """Return the freshness of the view of workers."""
        return self._workers_follower.freshness

    @property
    def workers_known(self) -> bool:
        """Whether the list of workers was read at least once."""
        return self._workers_follower.freshness.ever_confirmed

    def set_pace(self, pace: PollIntervals) -> None:
        """Set the poll intervals."""
        self._pace = pace
        self._workers_follower.pause_seconds = pace.workers_pause_seconds
        self._operators_follower.wait_seconds = pace.configuration_wait_seconds

    async def refresh(self) -> None:
        """Refresh views that are too old to serve a request from.

        The view of operators' records gets too old only in a process that was suspended.
        """
        await self._workers_follower.refresh(OLDEST_VIEW_SECONDS, REFRESH_TIMEOUT_SECONDS)
        await self._operators_follower.refresh(
            MAXIMUM_OPERATOR_VIEW_AGE_SECONDS, REFRESH_TIMEOUT_SECONDS
        )

    async def renew_configuration(self, oldest_seconds: float, timeout_seconds: float) -> bool:
        """Return whether operators' records of at least this age are known; read if necessary."""
        return await self._operators_follower.renew(oldest_seconds, timeout_seconds)

    def view_age(self, now: float) -> float:
        """Return the age of the older view, in seconds."""
        return max(freshness.age(now) for freshness in self.freshness)

    def _replace_published(self, records: tuple[KeyedRecord, ...]) -> None:
        evacuated: set[str] = set()
        for record in records:
            published = self._dialect.decode_operator_record(record)
            if not isinstance(published, ZoneEvacuation):
                self._apply_decoded(record, published)
            elif published.in_force:
                evacuated.add(published.zone)
        self._evacuations.replace(evacuated, steady_seconds())

    def _apply_published(self, record: KeyedRecord) -> None:
        self._apply_decoded(record, self._dialect.decode_operator_record(record))

    def _apply_decoded(self, record: KeyedRecord, published: OperatorRecord | None) -> None:
        if published is None:
            log_event("published_unreadable", "warning", key=record.key, offset=record.offset)
        elif isinstance(published, ZoneEvacuation):
            self._evacuations.apply(published.zone, published.in_force, steady_seconds())
        elif isinstance(published, NamedVersion):
            if self._rollouts.record_named_version(published.model, published.version):
                log_event("version_named", model=published.model, version=published.version)
        elif self._routes.apply(published):
            log_event(
                "configuration_in_force",
                version=published.version,
                offset=record.offset,
                routes=len(published.routes),
            )

    def _replace_workers(self, records: tuple[KeyedRecord, ...]) -> None:
        decoded = {record.key: self._worker_entry(record) for record in records}
        announcements = [entry for entry in decoded.values() if entry is not None]
        unreadable = [key for key, entry in decoded.items() if entry is None]
        self._listing = True
        self._workers.replace(
            announcements, steady_seconds(), self._disturbed_at(), unreadable=unreadable
        )
        self._listing = False
        log_event("workers_listed", count=len(announcements), unreadable=len(unreadable))

    def _worker_entry(self, record: KeyedRecord) -> WorkerAnnouncement | None:
        """Decode a worker's entry; log an unusable one once for each key."""
        entry = self._dialect.decode_worker_announcement(record)
        if entry is not None:
            self._logged_unusable.discard(record.key)
        elif record.value is not None and record.key not in self._logged_unusable:
            if len(self._logged_unusable) < MAXIMUM_LOGGED_UNUSABLE:
                self._logged_unusable.add(record.key)
            log_event("worker_entry_unusable", "warning", key=record.key, offset=record.offset)
        return entry

    def _apply_worker(self, record: KeyedRecord) -> None:
        now = steady_seconds()
        if record.value is None:
            self._workers.remove(record.key, now, self._disturbed_at())
            return
        announcement = self._worker_entry(record)
        if announcement is not None:
            self._workers.announce(announcement, now)
        else:
            self._workers.discard(record.key)

    def _disturbed_at(self) -> float:
        return self._workers_follower.freshness.disturbed_at

    def worker_cold(self, worker: Worker, seconds: float, now: float) -> None:
        """Mark a worker as cold after its entry announced a cold start."""
        service = self._routes.service(worker.announcement.service)
        if service is not None and service.cold_rate > 0.0:
            log_event("worker_cold", worker=worker.announcement.worker, seconds=seconds)
        self._cold.mark_cold(worker, seconds, now)

    def worker_changed(self, worker: str, change: WorkerChange) -> None:
        """Log a change of a worker's state.

        The level is debug on idle nodes and while a whole list is read, which has a line of its
        own: a line for each worker would dominate the log.
        """
        debug_only = self._listing or self._pace is IDLE_POLL_INTERVALS
        log_event(
            "worker_changed", "debug" if debug_only else "info", worker=worker, change=change.value
        )


class _GapDetector:
    """Reports when a view becomes current again after a gap, or for the first time."""

    def __init__(self, on_renewed: Callable[[float], None]) -> None:
        self._on_renewed = on_renewed
        self._confirmed_at = -math.inf

    def __call__(self, confirmed_at: float) -> None:
        """Handle the confirmation that a view is complete as of a time."""
        gap = confirmed_at - self._confirmed_at
        self._confirmed_at = confirmed_at
        if gap > OLDEST_WARM_VIEW_SECONDS:
            self._on_renewed(steady_seconds())


def _log_zone_evacuated(zone: str, _now: float) -> None:
    log_event("zone_evacuated", zone=zone)


def _log_zone_restored(zone: str, _now: float) -> None:
    log_event("zone_restored", zone=zone)
