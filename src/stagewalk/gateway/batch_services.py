"""Assembles everything that keeps, runs and shows batches on one gateway.

Owns the batch store and the services on top of it: the runner's (`runners.runner_service`) and the
reads of the ledger. The one place where the store's changes are passed on to the runner is `start`.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio.abc

from stagewalk.gateway.batch_service.batch_index import BatchIndex
from stagewalk.gateway.batch_service.batch_store import BATCHES_TOPIC, BatchStore
from stagewalk.gateway.batch_service.ledger_call_handler import LedgerCallHandler
from stagewalk.gateway.batch_service.ledger_calls import LEDGER_PATH, LedgerCallRouter
from stagewalk.gateway.batch_service.open_batch_views import OpenBatchViews
from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.dialect import Dialect
from stagewalk.gateway.entry.batch_calls import BatchEndpoints
from stagewalk.gateway.nodes.identity import ProcessId
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.peer_calls.client import PeerClient
from stagewalk.gateway.peer_calls.server import PeerHandler
from stagewalk.gateway.ports.partitioned_log import PartitionedLog
from stagewalk.gateway.runners.batch_runner import BatchRunner
from stagewalk.gateway.runners.place_sharing import PlaceSharing
from stagewalk.gateway.runners.runner_service import RunnerService, WorkerAccess
from stagewalk.gateway.runners.takeover_service import TakeoverService
from stagewalk.gateway.settings import GatewaySettings
from stagewalk.gateway.version_rollouts.core import VersionRollouts


class BatchServices:
    """The batch ledger's replica, the runner, and the calls about both.

    Parameters
    ----------
    settings
        Returns the settings in force: they change while the process runs.
    access
        Everything between this node's batches and the workers.
    starting
        Whether the log is left to nodes that look for open batches.
    on_item_started
        Observes the age of the view by which an item was started, in seconds.
    """

    def __init__(
        self,
        *,
        settings: Callable[[], GatewaySettings],
        log: PartitionedLog,
        identity: ProcessId,
        producer: str,
        dialect: Dialect,
        peer_client: PeerClient,
        nodes: NodeService,
        access: WorkerAccess,
        rollouts: VersionRollouts,
        starting: Callable[[], bool],
        on_item_started: Callable[[float], None],
    ) -> None:
        limits, policy = settings().log_limits, settings().policy
        self._routes = access.routes
        self.store = BatchStore(
            log, producer, limits.record_bytes, limits.call_bytes, limits.partitions
        )
        places = BatchIndex(log)
        self._running = RunnerService(
            identity=identity,
            store=self.store,
            places=places,
            nodes=nodes,
            peer_client=peer_client,
            access=access,
            rollouts=rollouts,
            policy=policy,
            prompt_of=dialect.prompt,
            batch_end_seconds=lambda: settings().timing.batch_end,
            on_item_started=on_item_started,
        )
        self._reads = LedgerCallHandler(
            self.store,
            dialect,
            places,
            self._due_seconds,
            hold_results=policy.hold_results,
            open_views=OpenBatchViews(log, BATCHES_TOPIC, places),
            starting=starting,
        )
        ledger = LedgerCallRouter(
            self._reads,
            peer_client,
            access.eligibility_services.eligibility.proximity,
            nodes.replicas,
            lambda: self.store.following,
            may_hold=lambda: nodes.may_hold_batches,
        )
        self.calls = BatchEndpoints(
            self.store,
            runners=self._running.choice,
            assignments=self._running.assignments,
            ledger=ledger,
            dialect=dialect,
            route_of=access.routes.find,
        )

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all of them; what the store reads goes to the runner from now on."""
        self.store.start(tasks, self.runner.ledger_changed)
        self._running.start(tasks)

    @property
    def runner(self) -> BatchRunner:
        """Return the runner of this node's batches."""
        return self._running.runner

    @property
    def takeovers(self) -> TakeoverService:
        """Return the service that takes batches over."""
        return self._running.takeovers

    @property
    def place_sharing(self) -> PlaceSharing:
        """Return what shares engines' places among trainers."""
        return self._running.place_sharing

    @property
    def peer_handlers(self) -> dict[str, PeerHandler]:
        """Return by path what answers other nodes' calls."""
        return {LEDGER_PATH: self._reads.handle, **self._running.peer_handlers}

    def _due_seconds(self, batch: Batch) -> float:
        """Return how long after its submission a batch's results are due."""
        route = self._routes.find(batch.header.host, batch.header.path)
        return math.inf if route is None else route.due_seconds
