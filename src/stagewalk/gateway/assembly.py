"""Builds the parts of one gateway process and connects them.

Owns the order of construction and the late binding of parts that refer to each other (`_Links`).
Relies on `Dependencies` for everything outside the gateway; starts nothing.
"""

from __future__ import annotations

import random
import time
import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_services import BatchServices
from stagewalk.gateway.dialect import Dialect
from stagewalk.gateway.duty_services import DutyServices
from stagewalk.gateway.eligibility_services import EligibilityServices
from stagewalk.gateway.forwarding.admission_gate import AdmissionGate
from stagewalk.gateway.forwarding.forwarder import Forwarder
from stagewalk.gateway.forwarding.open_requests import OpenRequests
from stagewalk.gateway.forwarding.stream_forwarder import StreamForwarder
from stagewalk.gateway.held_memory.budget import MemoryBudget
from stagewalk.gateway.held_memory.readers import CutOff, ResponseReaders
from stagewalk.gateway.log_relay.relayed_log import RelayedLog, RelayPeers
from stagewalk.gateway.metrics import GatewayMetrics
from stagewalk.gateway.nodes.crash_watch import CrashWatch
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.nodes.own_node import OwnNode
from stagewalk.gateway.partitioned_log.measured_log import MeasuredLog
from stagewalk.gateway.peer_calls.client import PeerClient
from stagewalk.gateway.ports.duties import DutyClient
from stagewalk.gateway.ports.partitioned_log import Partition, PartitionedLog
from stagewalk.gateway.ports.workers import ConnectionReason, SendPurpose, WorkerClient
from stagewalk.gateway.published_records import PublishedRecords
from stagewalk.gateway.role_controller import LogReserve, RoleController
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.runners.runner_service import WorkerAccess
from stagewalk.gateway.settings_reload import LiveSettings
from stagewalk.gateway.version_rollouts.core import VersionRollouts
from stagewalk.gateway.workers.table import WorkerTable

NODES_PARTITION = Partition("keyed.nodes", 0)
"""Compacted partition of the nodes' announcements and of the worker crashes that they report."""


@dataclass(frozen=True, slots=True)
class Dependencies:
    """Adapters of everything outside the gateway, behind its ports."""

    log: PartitionedLog
    workers: WorkerClient
    dialect: Dialect
    duties: DutyClient | None = None
    """None: the platform takes neither usage reports nor worker orders."""
    memory: MemoryBudget | None = None
    """Budget that `workers` charges buffered answers to; None: the memory limit is not known."""
    opened_connections: Callable[[], Counter[tuple[SendPurpose, ConnectionReason]]] = Counter
    """Counts the connections that `workers` opened since the start, by purpose and reason."""


@dataclass(frozen=True, slots=True)
class LogAccess:
    """Clients of the log, direct and through other nodes.

    Attributes
    ----------
    direct
        Calls the log and measures the calls; also serves calls relayed by other nodes.
    relayed
        Calls the log, or another node while the log does not answer; used by all services.
    """

    direct: MeasuredLog
    relayed: RelayedLog
    peer_client: PeerClient


@dataclass(frozen=True, slots=True)
class ClusterState:
    """This node's view of routes, workers and other nodes, and the checks based on it."""

    routes: RouteTable
    workers: WorkerTable
    eligibility_services: EligibilityServices
    rollouts: VersionRollouts
    nodes: NodeService
    crashes: CrashWatch


@dataclass(frozen=True, slots=True)
class Forwarders:
    """Forwarders of callers' requests, for whole answers and for streams."""

    whole: Forwarder
    streams: StreamForwarder
    gate: AdmissionGate
    open_requests: OpenRequests


@dataclass(frozen=True, slots=True)
class GatewayParts:
    """All parts of a gateway, built and connected, none of them running."""

    log: LogAccess
    identity: OwnIdentity
    cluster: ClusterState
    batches: BatchServices
    published: PublishedRecords
    duties: DutyServices
    roles: RoleController
    log_reserve: LogReserve
    forwarders: Forwarders
    readers: ResponseReaders | None


class _Links:
    """Late-bound calls between parts that depend on each other, set once both are built.

    - The log client relays through other nodes, and nodes are known from the log.
    - Eligibility depends on the age of the published records, and applying these records updates
      the eligibility state.
    - A request suspected of crashing workers is sent only after the nodes' partition was read
      again, and the follower of that partition passes reported worker crashes to `CrashWatch`.
    """

    nodes: NodeService
    published: PublishedRecords

    def relay_peers(self) -> RelayPeers:
        return self.nodes.peers()

    def replica_names(self) -> list[str]:
        return [node.node for node in self.nodes.replicas()]

    async def renew_nodes(self, oldest_seconds: float, timeout_seconds: float) -> bool:
        return await self.nodes.renew(oldest_seconds, timeout_seconds)

    def view_age(self, now: float) -> float:
        return self.published.view_age(now)


class GatewayAssembly:
    """Builds one gateway in steps, each from what the steps before it built."""

    def __init__(
        self, settings: LiveSettings, dependencies: Dependencies, metrics: GatewayMetrics
    ) -> None:
        self._live = settings
        self._settings = settings.current
        self._dependencies = dependencies
        self._metrics = metrics
        self._identity = OwnIdentity(self._settings.name, time.time_ns() // 1_000_000)
        self._producer = f"{self._settings.name}-{uuid.uuid4().hex}"
        self._links = _Links()

    def build(self) -> GatewayParts:
        """Return all parts, connected."""
        log = self._log()
        cluster = self._cluster(log)
        log_reserve = LogReserve()
        batches = self._batches(log, cluster, log_reserve)
        published = self._published(log, cluster)
        duties = self._duties(log, cluster, batches, published)
        roles = RoleController(
            cluster.nodes,
            batches.store,
            batches.runner,
            duties.lease,
            published,
            log_reserve=log_reserve,
        )
        readers = self._readers()
        forwarders = self._forwarders(cluster, duties, readers)
        self._links.nodes = cluster.nodes
        self._links.published = published
        return GatewayParts(
            log=log,
            identity=self._identity,
            cluster=cluster,
            batches=batches,
            published=published,
            duties=duties,
            roles=roles,
            log_reserve=log_reserve,
            forwarders=forwarders,
            readers=readers,
        )

    def _log(self) -> LogAccess:
        direct = MeasuredLog(self._dependencies.log, self._metrics.log_called)
        peer_client = PeerClient()
        relayed = RelayedLog(direct, self._links.relay_peers, peer_client)
        return LogAccess(direct, relayed, peer_client)

    def _cluster(self, log: LogAccess) -> ClusterState:
        routes = RouteTable(self._settings.name)
        workers = WorkerTable(uses_reported_pace=self._settings.policy.reported_pace)
        eligibility_services = EligibilityServices(
            settings=self._settings,
            log=log.relayed,
            producer=self._producer,
            workers=workers,
            routes=routes,
            view_age=self._links.view_age,
            replicas=self._links.replica_names,
            on_denied=self._metrics.send_denied,
        )
        rollouts = VersionRollouts(
            workers,
            self._settings.policy,
            lambda: eligibility_services.evacuations.zones,
            lambda service: routes.service(service) is not None,
        )
        crashes = self._crashes(log, eligibility_services, workers)
        nodes = self._nodes(log, routes, crashes)
        return ClusterState(routes, workers, eligibility_services, rollouts, nodes, crashes)

    def _crashes(
        self, log: LogAccess, eligibility_services: EligibilityServices, workers: WorkerTable
    ) -> CrashWatch:
        return CrashWatch(
            log=log.relayed,
            partition=NODES_PARTITION,
            node=self._settings.name,
            suspects=eligibility_services.suspects,
            workers=workers,
            probe=self._dependencies.workers.is_listening,
            renew_view=self._links.renew_nodes,
        )

    def _nodes(self, log: LogAccess, routes: RouteTable, crashes: CrashWatch) -> NodeService:
        return NodeService(
            log=log.relayed,
            partition=NODES_PARTITION,
            own=OwnNode(
                identity=self._identity,
                front=self._settings.front,
                peer=self._settings.peers,
                placement=self._settings.placement,
                capacity=self._settings.processor.capacity,
            ),
            policy=self._settings.policy,
            batch_regions=lambda: routes.batch_regions,
            worker_ends=crashes,
        )

    def _batches(
        self, log: LogAccess, cluster: ClusterState, log_reserve: LogReserve
    ) -> BatchServices:
        return BatchServices(
            settings=lambda: self._live.current,
            log=log.relayed,
            identity=self._identity,
            producer=self._producer,
            dialect=self._dependencies.dialect,
            peer_client=log.peer_client,
            nodes=cluster.nodes,
            access=WorkerAccess(
                self._dependencies.workers,
                cluster.workers,
                cluster.routes,
                cluster.eligibility_services,
                cluster.crashes,
            ),
            rollouts=cluster.rollouts,
            starting=lambda: log_reserve.active,
            on_item_started=self._metrics.item_started,
            on_attempt_raised=self._metrics.attempt_raised,
        )

    def _published(self, log: LogAccess, cluster: ClusterState) -> PublishedRecords:
        return PublishedRecords(
            log.relayed,
            self._dependencies.dialect,
            cluster.routes,
            cluster.workers,
            cluster.rollouts,
            evacuations=cluster.eligibility_services.evacuations,
            cold=cluster.eligibility_services.cold,
        )

    def _duties(
        self,
        log: LogAccess,
        cluster: ClusterState,
        batches: BatchServices,
        published: PublishedRecords,
    ) -> DutyServices:
        return DutyServices(
            settings=self._settings,
            log=log.relayed,
            identity=self._identity,
            producer=self._producer,
            client=self._dependencies.duties,
            engines=self._dependencies.workers,
            rollouts=cluster.rollouts,
            routes=cluster.routes,
            workers=cluster.workers,
            published=published,
            store=batches.store,
            evacuations=cluster.eligibility_services.evacuations,
        )

    def _readers(self) -> ResponseReaders | None:
        """Return the registry of callers with buffered answers, None without a memory limit."""
        budget = self._dependencies.memory
        if budget is None:
            return None
        readers = ResponseReaders(budget, self._record_cut_off)
        budget.set_reclaimer(lambda missing: readers.make_room(missing, steady_seconds()))
        return readers

    def _record_cut_off(self, cut_off: CutOff) -> None:
        self._metrics.reader_cut_off(cut_off.reason.value)
        log_event(
            "reader_cut_off",
            "warning",
            request=cut_off.request_id,
            reason=cut_off.reason.value,
            held_bytes=cut_off.held_bytes,
            seconds_behind=cut_off.seconds_behind,
            resumable=cut_off.resumable,
            node_held_bytes=cut_off.node_held_bytes,
        )

    def _forwarders(
        self, cluster: ClusterState, duties: DutyServices, readers: ResponseReaders | None
    ) -> Forwarders:
        client, eligibility_services = self._dependencies.workers, cluster.eligibility_services
        begun = duties.count_begun
        gate = AdmissionGate(
            cluster.workers.usable,
            random.Random(self._producer),
            self._metrics,
            enabled=self._settings.policy.admission,
        )
        open_requests = OpenRequests()
        return Forwarders(
            Forwarder(
                client,
                eligibility_services.eligibility,
                cluster.routes,
                cluster.crashes,
                gate,
                open_requests=open_requests,
                policy=self._settings.policy,
                on_begun=begun,
            ),
            StreamForwarder(
                client,
                eligibility_services.eligibility,
                cluster.routes,
                cluster.crashes,
                gate,
                open_requests=open_requests,
                on_begun=begun,
                readers=readers,
            ),
            gate,
            open_requests,
        )
