"""Measures the time to choose one of 600 engines by memory, in microseconds per choice.

Run it from the repository: `python -m tests.gateway.batches.bench_engine_memory`.
"""

from __future__ import annotations

from time import perf_counter

from stagewalk.gateway.batches.attempts import RunningAttempts
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.engine_memory import EngineMemory
from stagewalk.gateway.batches.item_run import ItemRun, RunningAttempt
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.memory_fit import EngineRoom, UnknownRoom
from stagewalk.gateway.batches.placement import choose_engine
from stagewalk.gateway.batches.prompt import Prompt, PromptPart
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.routes.route import EngineLimits, Service
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker
from tests.gateway.batches.support import RecordingLedger, item, submitted
from tests.gateway.eligibility.support import NEAR_Z1
from tests.gateway.workers.support import announcement

ENGINES = 600
RUNS_PER_ENGINE = 6
SLOTS = 8
LOAD = WorkerLoad(RUNS_PER_ENGINE + 1, 0, SLOTS)
TICKS = 20
CHOICES_PER_TICK = 20
LIMITS = EngineLimits(75_317, 78.0)
FULL = EngineLimits(5_000, 78.0)


class EngineFleet:
    """Engines that each run some items of this node and one of another node."""

    def __init__(self, limits: EngineLimits) -> None:
        workers = WorkerTable()
        for number in range(ENGINES):
            workers.announce(announcement(f"e{number}", slots=SLOTS), 0.0)
        self.engines = list(workers.all())
        run = BatchRun(RecordingLedger().open(submitted(item("x"))))
        attempts = RunningAttempts(workers)
        for number in range(ENGINES * RUNS_PER_ENGINE):
            engine = self.engines[number % ENGINES]
            filler = _item(number)
            filler.running = RunningAttempt(number, engine.announcement.worker, 0.0, 0.0, 0)
            filler.running.answering = True
            filler.events = ["text"] * (number % 17)
            attempts.add(number, run, filler)
            engine.record_sent()
        for engine in self.engines:
            engine.record_load(LOAD, 0.0)
        self.memory = EngineMemory(
            workers, attempts, LengthEstimate(), lambda name: Service(name, engine=limits)
        )
        for engine in self.engines:
            self.memory.record_report(engine, LOAD, 0.0)


def _item(number: int) -> ItemRun:
    prompt = Prompt((PromptPart(f"g{number % 300}", 1_000), PromptPart(f"i{number}", 16)), 9_000)
    return ItemRun.begin("h.example", item(f"i{number}", 300 + number % 900), prompt)


def microseconds(room: EngineRoom, engines: list[Worker]) -> float:
    """Return the mean time of a choice, with several choices per tick."""
    started = perf_counter()
    for tick in range(TICKS):
        for number in range(CHOICES_PER_TICK):
            choose_engine(
                engines,
                "m",
                tick / 20.0,
                proximity=NEAR_Z1,
                siblings=(),
                avoid="",
                fits=room.search(_item(number), tick / 20.0).fits,
            )
    return (perf_counter() - started) / (TICKS * CHOICES_PER_TICK) * 1e6


def main() -> None:
    """Print the time by slots alone, by memory, and by memory if no engine has room."""
    roomy, crowded = EngineFleet(LIMITS), EngineFleet(FULL)
    by_slots = microseconds(UnknownRoom(), roomy.engines)
    by_memory = microseconds(roomy.memory, roomy.engines)
    without_room = microseconds(crowded.memory, crowded.engines)
    started = perf_counter()
    roomy.memory.expected_tokens(9.0)
    gauges = (perf_counter() - started) * 1e6
    print(f"{ENGINES} engines, us a choice: {by_slots:.0f} by slots, {by_memory:.0f} by memory,")
    print(f"{without_room:.0f} if no engine has memory; {gauges:.0f} us for all gauges")


if __name__ == "__main__":
    main()
