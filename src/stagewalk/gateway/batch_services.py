"""Assembles the services that store, run and serve batches on one gateway.

Owns the batch store, and on top of it the runner service (`runners.runner_service`) and the handler
of ledger calls. `start` subscribes the runner to the store's changes.
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
from stagewalk.gateway.nodes.identity import OwnIdentity
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
    """The replica of the batch ledger, the runner, and the endpoints of both.

    Parameters
    ----------
    settings
        Returns the current settings, which may be reloaded while the process runs.
    access
        Worker client and the tables and rules by which items are sent to workers.
    starting
        Returns whether the log is reserved for nodes that resume batches.
    on_item_started
        Called with the age of the view used to start each item, in seconds.
    """

    def __init__(
        self,
        *,
        settings: Callable[[], GatewaySettings],
        log: PartitionedLog,
        identity: OwnIdentity,
        producer: str,
        dialect: Dialect,
        peer_client: PeerClient,
        nodes: NodeService,
        access: WorkerAccess,
        rollouts: VersionRollouts,
        starting: Callable[[], bool],
        on_item_started: Callable[[float], None],
        on_attempt_raised: Callable[[], None],
    ) -> None:
        limits, policy = settings().log_limits, settings().policy
        self._routes = access.routes
        self.store = BatchStore(
            log, producer, limits.record_bytes, limits.call_bytes, limits.partitions
        )
        places = BatchIndex(log)
        self._runner_service = RunnerService(
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
            on_attempt_raised=on_attempt_raised,
        )
        self._ledger_handler = LedgerCallHandler(
            self.store,
            dialect,
            places,
            self._due_seconds,
            hold_results=policy.hold_results,
            open_views=OpenBatchViews(log, BATCHES_TOPIC, places),
            starting=starting,
        )
        ledger = LedgerCallRouter(
            self._ledger_handler,
            peer_client,
            access.eligibility_services.eligibility.proximity,
            nodes.replicas,
            lambda: self.store.following,
            may_hold=lambda: nodes.may_hold_batches,
        )
        self.calls = BatchEndpoints(
            self.store,
            runners=self._runner_service.choice,
            assignments=self._runner_service.assignments,
            ledger=ledger,
            dialect=dialect,
            route_of=access.routes.find,
        )

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the store and the runner, and pass the store's changes to the runner."""
        self.store.start(tasks, self.runner.ledger_changed)
        self._runner_service.start(tasks)

    @property
    def runner(self) -> BatchRunner:
        """Return the runner of this node's batches."""
        return self._runner_service.runner

    @property
    def takeovers(self) -> TakeoverService:
        """Return the service that takes over the batches of failed runners."""
        return self._runner_service.takeovers

    @property
    def place_sharing(self) -> PlaceSharing:
        """Return the service that shares engine places among trainers."""
        return self._runner_service.place_sharing

    @property
    def peer_handlers(self) -> dict[str, PeerHandler]:
        """Return the handlers of other nodes' calls, by path."""
        return {LEDGER_PATH: self._ledger_handler.handle, **self._runner_service.peer_handlers}

    def _due_seconds(self, batch: Batch) -> float:
        """Return how many seconds after its submission a batch's results are due."""
        route = self._routes.find(batch.header.host, batch.header.path)
        return math.inf if route is None else route.due_seconds
