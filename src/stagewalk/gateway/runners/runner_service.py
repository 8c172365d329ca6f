"""Assembles the services that run batches on one gateway.

Owns these services and their start. Relies on the batch store, the places of open batches and the
list of nodes, and on `WorkerAccess` for everything between this node and the workers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio.abc

from stagewalk.gateway.batch_service.batch_index import BatchIndex
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batches.prompt import PromptReader
from stagewalk.gateway.batches.scheduler import BatchScheduler
from stagewalk.gateway.eligibility_services import EligibilityServices
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.peer_calls.client import PeerClient
from stagewalk.gateway.peer_calls.server import PeerHandler
from stagewalk.gateway.place_shares.demand import PlaceLimits
from stagewalk.gateway.place_shares.limits import ShareLimits
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.ports.workers import WorkerClient
from stagewalk.gateway.quarantine.crash_reports import CrashReports
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.runners.batch_assignments import BatchAssignments
from stagewalk.gateway.runners.batch_runner import BatchRunner
from stagewalk.gateway.runners.batch_views import BatchViews
from stagewalk.gateway.runners.checked_sends import CheckedSends
from stagewalk.gateway.runners.place_sharing import PlaceSharing
from stagewalk.gateway.runners.runner_calls import RUNNER_PATH, RunnerCallHandler, RunnerClient
from stagewalk.gateway.runners.runner_choice import RunnerChoice
from stagewalk.gateway.runners.runner_probes import RunnerProbes
from stagewalk.gateway.runners.scheduler_loop import SchedulerLoop
from stagewalk.gateway.runners.takeover_service import TakeoverService
from stagewalk.gateway.version_rollouts.core import VersionRollouts
from stagewalk.gateway.workers.table import WorkerTable


@dataclass(frozen=True, slots=True)
class WorkerAccess:
    """The services that decide about sends to workers, and carry them out."""

    client: WorkerClient
    workers: WorkerTable
    routes: RouteTable
    eligibility_services: EligibilityServices
    crashes: CrashReports


class RunnerService:
    """The services that choose, run and take over batches on this node.

    Parameters
    ----------
    prompt_of
        Reads an item's prompt.
    batch_end_seconds
        Returns how long after a batch's end was acknowledged its items may still reach workers.
    on_item_started
        Called with the age of the view from which an item was started, in seconds.
    on_attempt_raised
        Called for each attempt that ended with an exception of this process.
    """

    def __init__(
        self,
        *,
        identity: OwnIdentity,
        store: BatchStore,
        places: BatchIndex,
        nodes: NodeService,
        peer_client: PeerClient,
        access: WorkerAccess,
        rollouts: VersionRollouts,
        policy: Policy,
        prompt_of: PromptReader,
        batch_end_seconds: Callable[[], float],
        on_item_started: Callable[[float], None],
        on_attempt_raised: Callable[[], None],
    ) -> None:
        views = BatchViews(store, batch_end_seconds)
        limits = ShareLimits()
        scheduler = _build_scheduler(access, policy, views, limits, prompt_of)
        self.place_sharing = PlaceSharing(
            limits,
            nodes=nodes,
            scheduler=scheduler,
            workers=access.workers,
            evacuations=access.eligibility_services.evacuations,
        )
        self._share_places = policy.place_shares
        self.runner = BatchRunner(
            identity=identity,
            store=store,
            scheduler=scheduler,
            loop=SchedulerLoop(
                scheduler,
                store,
                views,
                _build_sends(access, views),
                on_item_started,
                on_opened=self._batch_opened,
                on_raised=on_attempt_raised,
            ),
            rollouts=rollouts,
            views=views,
            places=places,
        )
        calls = RunnerClient(peer_client)
        self.choice = RunnerChoice(
            identity=identity, nodes=nodes, runner=self.runner, calls=calls, policy=policy
        )
        self.assignments = BatchAssignments(
            identity=identity,
            nodes=nodes,
            store=store,
            runner=self.runner,
            calls=calls,
            open_batches=places,
            policy=policy,
        )
        self.takeovers = TakeoverService(
            identity=identity,
            store=store,
            runner=self.runner,
            nodes=nodes,
            open_batches=places,
            policy=policy,
        )
        self._probes = RunnerProbes(
            calls,
            nodes.liveness,
            self.takeovers.probe_targets,
            store.wait_until_following,
        )

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all services."""
        self.runner.start(tasks)
        self.assignments.start(tasks)
        self.takeovers.start(tasks)
        tasks.start_soon(self._probes.run)
        if self._share_places:
            tasks.start_soon(self.place_sharing.run)

    def _batch_opened(self) -> None:
        """Count a batch's demand before its items take places."""
        if self._share_places:
            self.place_sharing.update()

    @property
    def peer_handlers(self) -> dict[str, PeerHandler]:
        """Return the handlers of other nodes' calls about runners, by path."""
        handler = RunnerCallHandler(self.choice.describe, self.assignments.accept)
        return {RUNNER_PATH: handler.handle}


def _build_scheduler(
    access: WorkerAccess,
    policy: Policy,
    views: BatchViews,
    limits: PlaceLimits,
    prompt_of: PromptReader,
) -> BatchScheduler:
    return BatchScheduler(
        access.workers,
        access.routes.find,
        lambda route: access.routes.choose_back_end(route).service,
        access.eligibility_services.eligibility,
        policy,
        may_start=views.may_start,
        limits=limits,
        service=access.routes.service,
        prompt_of=prompt_of,
    )


def _build_sends(access: WorkerAccess, views: BatchViews) -> CheckedSends:
    return CheckedSends(
        access.client,
        access.workers,
        access.eligibility_services.eligibility,
        views,
        access.crashes,
    )
