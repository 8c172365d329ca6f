"""Injects planned faults into a simulated world, and ends them.

Owns when a fault begins and ends, and the observation of it; relies on `faults` for the schedule
and on machines, network and services to carry it out.
"""

from __future__ import annotations

from collections.abc import Callable

from stagewalk.common.identities import Placement
from stagewalk.history.checker_configuration import EVERY_NODE
from stagewalk.history.observations import FaultInjected
from stagewalk.simulation.faults import Fault, FaultKind
from stagewalk.simulation.machines import MachineManager
from stagewalk.simulation.network import Impairment, Network, Partition
from stagewalk.simulation.platform_services import ORDINARY_LIST_LAG_SECONDS
from stagewalk.simulation.trainers import Trainer
from stagewalk.simulation.virtual_time import Action, Steps

LOG_PARTITION_KIND = "partition"
"""Kind of the observation for each node that a partition cuts off from the log."""


class FaultInjector:
    """Executes a fault schedule."""

    def __init__(
        self, keeper: MachineManager, network: Network, trainers: dict[str, Trainer]
    ) -> None:
        self._keeper = keeper
        self._network = network
        self._trainers = trainers
        self._handlers: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.NODE_KILL: lambda fault: keeper.kill_node(fault.targets[0], fault.seconds),
            FaultKind.NODE_STOP: lambda fault: keeper.stop_node(fault.targets[0], fault.seconds),
            FaultKind.NODE_PAUSE: self._pause,
            FaultKind.ROLLING_REPLACEMENT: self._replace_all,
            FaultKind.ENGINE_CRASH: self._crash_engine,
            FaultKind.ENGINE_STOP: self._stop_engine,
            FaultKind.SWAP_FAILURE: self._fail_swap,
            FaultKind.ZONE_LOSS: self._lose_zone,
            FaultKind.ZONE_PARTITION: self._cut_zone,
            FaultKind.REGION_PARTITION: self._cut_region,
            FaultKind.ONE_WAY_PARTITION: self._cut_zone_one_way,
            FaultKind.LINK_PARTITION: self._cut_link,
            FaultKind.NODE_ISOLATED: self._cut_node,
            FaultKind.LOG_DOWN: self._take_log_down,
            FaultKind.LOG_SLOW: self._slow_log,
            FaultKind.LOG_ANSWERS_LOST: self._lose_log_answers,
            FaultKind.STORE_DOWN: self._take_store_down,
            FaultKind.STORE_SLOW: self._slow_store,
            FaultKind.MACHINE_LIST_STALE: self._stale_list,
            FaultKind.MACHINE_LIST_DOWN: self._take_list_down,
            FaultKind.SCORER_FAILING: self._fail_scorer,
            FaultKind.TRAINER_CRASH: self._crash_trainer,
            FaultKind.PACKET_LOSS: lambda fault: self._impair(
                fault, Impairment(loss_fraction=fault.magnitude)
            ),
            FaultKind.PACKET_DELAY: lambda fault: self._impair(
                fault, Impairment(added_seconds=fault.magnitude)
            ),
            FaultKind.PACKET_DUPLICATION: lambda fault: self._impair(
                fault, Impairment(duplicate_fraction=fault.magnitude)
            ),
            FaultKind.PACKET_REORDERING: lambda fault: self._impair(
                fault, Impairment(reorder_fraction=fault.magnitude)
            ),
        }

    def plan(self, schedule: tuple[Fault, ...]) -> None:
        """Schedule all faults."""
        for fault in schedule:
            self._network.scheduler.at(fault.at, self._injection(fault))

    def _injection(self, fault: Fault) -> Action:
        return lambda: self._inject(fault)

    def _inject(self, fault: Fault) -> None:
        self._record_fault(fault.kind, ",".join(fault.targets) or EVERY_NODE, fault.seconds)
        self._handlers[fault.kind](fault)

    def _record_fault(self, kind: str, target: str, seconds: float) -> None:
        now = self._network.scheduler.now
        self._keeper.witness.observe(
            FaultInjected(at=now, kind=kind, target=target, until=now + seconds)
        )

    def _after(self, fault: Fault, action: Action) -> None:
        self._network.scheduler.after(fault.seconds, action)

    def _pause(self, fault: Fault) -> None:
        node = self._keeper.nodes[fault.targets[0]]
        incarnation = node.incarnation
        node.pause()
        self._after(fault, lambda: node.resume() if node.incarnation == incarnation else None)

    def _replace_all(self, fault: Fault) -> None:
        self._network.scheduler.start(self._replace_in_turn(fault))

    def _replace_in_turn(self, fault: Fault) -> Steps:
        for node in self._keeper.nodes.values():
            self._keeper.stop_node(node.name, fault.seconds)
            while node.stopping or not node.alive:
                yield self._network.scheduler.sleep(1.0)
            yield self._network.scheduler.sleep(fault.seconds)

    def _crash_engine(self, fault: Fault) -> None:
        self._keeper.crash_engine(fault.targets[0], fault.seconds)

    def _stop_engine(self, fault: Fault) -> None:
        self._keeper.stop_engine(fault.targets[0], fault.seconds)

    def _fail_swap(self, fault: Fault) -> None:
        self._keeper.engines[fault.targets[0]].fail_next_activation()

    def _lose_zone(self, fault: Fault) -> None:
        for name in self._keeper.layout.names_in_zone(_zone(fault)):
            if name in self._keeper.nodes:
                self._keeper.kill_node(name, fault.seconds, machine_lost=True)
            else:
                self._keeper.crash_engine(name, fault.seconds, machine_lost=True)

    def _cut_zone(self, fault: Fault) -> None:
        inside = frozenset(self._keeper.layout.names_in_zone(_zone(fault)))
        self._cut(fault, inside, self._outside(inside))

    def _cut_region(self, fault: Fault) -> None:
        inside = frozenset(self._keeper.layout.names_in_region(fault.targets[0]))
        services = self._keeper.service_names
        others = self._outside(inside) - services
        first_region = min(self._keeper.layout.latencies)
        log_side = services if fault.targets[0] == first_region else frozenset()
        far_services = services - log_side
        self._cut(fault, inside | log_side, others | far_services)

    def _cut_zone_one_way(self, fault: Fault) -> None:
        inside = frozenset(self._keeper.layout.names_in_zone(_zone(fault)))
        outside = self._outside(inside)
        self._block(fault, [Partition(inside, outside)])
        self._record_cut_from_log(fault, inside)

    def _cut_link(self, fault: Fault) -> None:
        first, second = (frozenset({name}) for name in fault.targets)
        self._block(fault, [Partition(first, second), Partition(second, first)])

    def _cut_node(self, fault: Fault) -> None:
        inside = frozenset(fault.targets)
        self._cut(fault, inside, self._outside(inside))

    def _outside(self, inside: frozenset[str]) -> frozenset[str]:
        return self._keeper.all_names - inside

    def _cut(self, fault: Fault, inside: frozenset[str], outside: frozenset[str]) -> None:
        self._block(fault, [Partition(inside, outside), Partition(outside, inside)])
        services = self._keeper.service_names
        self._record_cut_from_log(fault, outside if services & inside else inside)

    def _block(self, fault: Fault, partitions: list[Partition]) -> None:
        for partition in partitions:
            self._network.begin_partition(partition)

        def heal() -> None:
            for partition in partitions:
                self._network.end_partition(partition)

        self._after(fault, heal)

    def _record_cut_from_log(self, fault: Fault, names: frozenset[str]) -> None:
        for name in sorted(names & self._keeper.nodes.keys()):
            self._record_fault(LOG_PARTITION_KIND, name, fault.seconds)

    def _take_log_down(self, fault: Fault) -> None:
        log = self._keeper.services.log
        log.down = True
        self._after(fault, lambda: setattr(log, "down", False))

    def _slow_log(self, fault: Fault) -> None:
        log = self._keeper.services.log
        log.slow = True
        self._after(fault, lambda: setattr(log, "slow", False))

    def _lose_log_answers(self, fault: Fault) -> None:
        log = self._keeper.services.log
        log.answer_loss_fraction = fault.magnitude
        self._after(fault, lambda: setattr(log, "answer_loss_fraction", 0.0))

    def _take_store_down(self, fault: Fault) -> None:
        store = self._keeper.services.store
        store.down = True
        self._after(fault, lambda: setattr(store, "down", False))

    def _slow_store(self, fault: Fault) -> None:
        store = self._keeper.services.store
        store.slow_factor = fault.magnitude
        self._after(fault, lambda: setattr(store, "slow_factor", 1.0))

    def _stale_list(self, fault: Fault) -> None:
        machines = self._keeper.services.machines
        machines.lag_seconds = fault.magnitude
        self._after(fault, lambda: setattr(machines, "lag_seconds", ORDINARY_LIST_LAG_SECONDS))

    def _take_list_down(self, fault: Fault) -> None:
        machines = self._keeper.services.machines
        machines.down = True
        self._after(fault, lambda: setattr(machines, "down", False))

    def _fail_scorer(self, fault: Fault) -> None:
        scorer = self._keeper.services.scorer
        scorer.failure_fraction = fault.magnitude
        self._after(fault, lambda: setattr(scorer, "failure_fraction", 0.0))

    def _crash_trainer(self, fault: Fault) -> None:
        self._trainers[fault.targets[0]].crash(fault.seconds)

    def _impair(self, fault: Fault, impairment: Impairment) -> None:
        self._network.begin_impairment(impairment)
        self._after(fault, lambda: self._network.end_impairment(impairment))


def _zone(fault: Fault) -> Placement:
    region, zone = fault.targets[0].split("/")
    return Placement(region, zone)
