"""Benchmark of the choice among many workers; prints microseconds of processor time per choice.

Run as `python -m tests.gateway.workers.choice_cost`.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from stagewalk.gateway.batches.move_choice import faster_engine
from stagewalk.gateway.batches.placement import choose_engine
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.eligibility.support import NEAR_Z1
from tests.gateway.workers.support import announcement

WORKERS = 600
ROUNDS = 200
NOW = 100.0


def make_workers(pace: float | None) -> list[Worker]:
    workers = []
    for n in range(WORKERS):
        worker = Worker(announcement(f"w{n}", zone=f"z{n % 3 + 1}", slots=8), 0.0)
        for step in range(20):
            worker.record_load(WorkerLoad(n % 7, 0, 8, pace), NOW - 2.0 + 0.1 * step)
            worker.record_success(0.04 + 0.0001 * (n % 50), NOW - 2.0 + 0.1 * step)
        workers.append(worker)
    return workers


def microseconds(function: Callable[[], object]) -> float:
    began = time.process_time()
    for _ in range(ROUNDS):
        function()
    return (time.process_time() - began) / ROUNDS * 1e6


def main() -> None:
    rng = Random("node")
    for label, pace in (("no pace", None), ("pace", 1.1)):
        pool = make_workers(pace)
        costs = {
            "worker for a request": lambda pool=pool: choose_worker(
                pool, NOW, NEAR_Z1, prefer_warm=True, rng=rng
            ),
            "engine for an item": lambda pool=pool: choose_engine(
                pool, "m", NOW, proximity=NEAR_Z1, siblings=(), avoid="", events=50, rng=rng
            ),
            "faster engine": lambda pool=pool: faster_engine(
                pool[0], pool, "m", NOW, left=50.0, urgent=True
            ),
            "report and latency": lambda pool=pool, pace=pace: record_answer(pool[0], pace),
        }
        for name, function in costs.items():
            print(f"{label:8} {name:24} {microseconds(function):8.1f} us, {WORKERS} workers")


def record_answer(worker: Worker, pace: float | None) -> None:
    worker.record_load(WorkerLoad(3, 0, 8, pace), NOW)
    worker.record_success(0.04, NOW)


if __name__ == "__main__":
    main()
