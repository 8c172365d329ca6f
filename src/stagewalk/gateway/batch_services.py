"""Everything that keeps, runs and shows batches on one gateway, put together."""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio.abc

from stagewalk.gateway.batch_service.batch_store import TOPIC, BatchStore
from stagewalk.gateway.batch_service.early_start import EarlyViews
from stagewalk.gateway.batch_service.ledger_calls import LEDGER_PATH, LedgerCalls
from stagewalk.gateway.batch_service.ledger_reads import LedgerReads
from stagewalk.gateway.batch_service.open_batches import OpenBatches
from stagewalk.gateway.batches.ledger import Batch
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.dialect import Dialect
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.entry.batch_calls import BatchCalls
from stagewalk.gateway.nodes.identity import ProcessId
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.peer_calls.client import PeerClient
from stagewalk.gateway.peer_calls.server import PeerHandler
from stagewalk.gateway.ports.partitioned_log import PartitionedLog
from stagewalk.gateway.ports.workers import WorkerClient
from stagewalk.gateway.quarantine.crash_reports import CrashReports
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.runners.batch_runner import BatchRunner
from stagewalk.gateway.runners.run_views import RunViews
from stagewalk.gateway.runners.runner_calls import RUNNER_PATH
from stagewalk.gateway.runners.runner_choice import RunnerChoice
from stagewalk.gateway.runners.runner_probes import RunnerProbes
from stagewalk.gateway.runners.takeover_service import TakeoverService
from stagewalk.gateway.settings import GatewaySettings
from stagewalk.gateway.version_rollouts.core import VersionRollouts
from stagewalk.gateway.workers.table import WorkerTable


class BatchServices:
    """The batch ledger's replica, the runner, and the calls about both.

    Parameters
    ----------
    settings
        Returns the settings in force: they change while the process runs.
    starting
        Whether the log is left to those that look for open batches.
    on_item_started
        Takes the age of the view by which an item was started, in seconds.
    """

    def __init__(
        self,
        *,
        settings: Callable[[], GatewaySettings],
        log: PartitionedLog,
        identity: ProcessId,
        producer: str,
        dialect: Dialect,
        client: WorkerClient,
        peer_client: PeerClient,
        nodes: NodeService,
        workers: WorkerTable,
        routes: RouteTable,
        eligibility: Eligibility,
        crashes: CrashReports,
        rollouts: VersionRollouts,
        starting: Callable[[], bool],
        on_item_started: Callable[[float], None],
    ) -> None:
        limits, policy = settings().log_limits, settings().policy
        self._routes = routes
        self.store = BatchStore(
            log, producer, limits.record_bytes, limits.call_bytes, limits.partitions
        )
        places = OpenBatches(log)
        views = RunViews(self.store, lambda: settings().timing.batch_end)
        self.runner = BatchRunner(
            identity=identity,
            store=self.store,
            scheduler=BatchScheduler(
                workers,
                routes.find,
                lambda route: routes.choose_back_end(route).service,
                eligibility,
                policy,
                may_start=views.may_start,
            ),
            client=client,
            workers=workers,
            eligibility=eligibility,
            nodes=nodes,
            rollouts=rollouts,
            views=views,
            places=places,
            crashes=crashes,
            on_item_started=on_item_started,
        )
        self.runners = RunnerChoice(
            identity=identity,
            nodes=nodes,
            store=self.store,
            runner=self.runner,
            client=peer_client,
            open_batches=places,
            policy=policy,
        )
        self.takeovers = TakeoverService(
            identity=identity,
            store=self.store,
            runner=self.runner,
            nodes=nodes,
            open_batches=places,
            policy=policy,
        )
        self._probes = RunnerProbes(
            self.runners.calls,
            nodes.liveness,
            self.takeovers.probe_targets,
            self.store.wait_until_following,
        )
        self._reads = LedgerReads(
            self.store,
            dialect,
            places,
            self._due_seconds,
            hold_results=policy.hold_results,
            early=EarlyViews(log, TOPIC, places),
            starting=starting,
        )
        calls = LedgerCalls(
            self._reads,
            peer_client,
            eligibility.proximity,
            nodes.replicas,
            lambda: self.store.following,
            may_hold=lambda: nodes.may_hold_batches,
        )
        self.calls = BatchCalls(self.store, self.runners, calls, dialect, routes.find)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all of them."""
        self.store.start(tasks)
        self.runner.start(tasks)
        self.runners.start(tasks)
        self.takeovers.start(tasks)
        tasks.start_soon(self._probes.run)

    @property
    def peer_handlers(self) -> dict[str, PeerHandler]:
        """Return by path what answers other nodes' calls."""
        return {LEDGER_PATH: self._reads.handle, RUNNER_PATH: self.runners.calls.handle}

    def _due_seconds(self, batch: Batch) -> float:
        """Return how long after its submission a batch's results are due."""
        route = self._routes.find(batch.header.host, batch.header.path)
        return math.inf if route is None else route.due_seconds
