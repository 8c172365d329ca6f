"""Benchmark of place shares: `python -m tests.gateway.place_shares.benchmark_shares`.

Results are in docs/design/0173-place-shares.md.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.place_demand import place_demands
from stagewalk.gateway.batches.start_order import StepBounds, WaitingItem, order_scarce
from stagewalk.gateway.place_shares.claims import build_claims
from stagewalk.gateway.place_shares.demand import Claimant, PlaceDemand
from stagewalk.gateway.place_shares.limits import PeerClaims, ShareLimits
from stagewalk.gateway.place_shares.places import EnginePlaces
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.batches.support import batch_route, header, item
from tests.gateway.workers.support import announcement

WORKERS = 600
SLOTS = 8
RUNNERS = 6
SERVICE = "s"
STEP_ITEMS = 4_096
GROUP_ITEMS = 8


def _microseconds(action: Callable[[], object], times: int) -> float:
    began = time.perf_counter()
    for _ in range(times):
        action()
    return (time.perf_counter() - began) / times * 1e6


def _shares(claimants: int) -> None:
    items = 3 * WORKERS * SLOTS // claimants
    all_claimants = [Claimant(f"tenant-{n}", "h/m") for n in range(claimants)]
    demands = [PlaceDemand(claimant, SERVICE, items // 3, items) for claimant in all_claimants]
    nodes = [demands[n::RUNNERS] for n in range(RUNNERS)]
    others = PeerClaims(0.0, [build_claims(node) for node in nodes[1:]])
    limits = ShareLimits()

    def update() -> None:
        limits.update(nodes[0], others, {SERVICE: float(WORKERS * SLOTS)})

    computed = _microseconds(update, 200)
    asked = _microseconds(lambda: limits.most(all_claimants[0], SERVICE, 0.0), 20_000)
    print(f"{claimants} claimants: shares {computed:.0f} us, a limit {asked:.2f} us")


def _places() -> None:
    table = WorkerTable()
    for n in range(WORKERS):
        table.announce(announcement(f"e{n}", slots=SLOTS), 0.0)
    counted = _microseconds(lambda: EnginePlaces(table.usable(SERVICE), 0.0).total(()), 200)
    print(f"{WORKERS} workers: places {counted:.0f} us")


def _order() -> None:
    specs = [item(f"i{n}", 10 + n % 90, f"g{n // GROUP_ITEMS}") for n in range(STEP_ITEMS)]
    run = BatchRun(Batch(header("b"), {spec.item: spec for spec in specs}, "n#1", 0.0))
    run.items.update((spec.item, ItemRun.begin("h.example", spec)) for spec in specs)
    waiting = [WaitingItem(run, found) for found in run.items.values()]
    bounds = {"b": StepBounds(600.0, 800.0, 0.02)}
    lengths = LengthEstimate()
    ordered = _microseconds(lambda: order_scarce(waiting, bounds, lengths, 0.0), 20)
    route = batch_route()
    counted = _microseconds(lambda: place_demands([run], lambda _host, _path: route), 20)
    print(f"{STEP_ITEMS} waiting items: order {ordered:.0f} us, demand {counted:.0f} us")


def main() -> None:
    for claimants in (6, 72, 1_000):
        _shares(claimants)
    _places()
    _order()


if __name__ == "__main__":
    main()
