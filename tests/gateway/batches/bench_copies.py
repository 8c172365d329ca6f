"""Prints what copies of a step's last items could gain at most, beside moves of these items.

A copy begins its item anew at the fastest engine with a free place, as soon as few items are left
of what the trainer waits for; it is assumed never to be slowed, refused or stopped. Run it from the
repository: `python -m tests.gateway.batches.bench_copies`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from statistics import fmean

from tests.gateway.batches.engine_pool import Engine, EnginePool, Shape, Step

LAST_ITEMS = 8
"""Copies begin once no more items than this are left of what the trainer waits for."""

SHARE = 0.9
STEPS = 5
SEEDS = range(1, 7)
LOOK_SECONDS = 0.05


@dataclass(slots=True)
class Copies:
    """The last items of a step and when their copies would end at the earliest."""

    began_at: float
    ends: dict[str, float] = field(default_factory=dict)


class CopyWatch:
    """Looks at a pool while it runs, and changes nothing."""

    def __init__(self, pool: EnginePool) -> None:
        self._pool = pool
        self.copies: dict[str, Copies] = {}
        self._look()

    def _look(self) -> None:
        for name, step in self._pool.steps.items():
            if name not in self.copies and step.left:
                last = self._last_items(step)
                if 0 < len(last) <= LAST_ITEMS:
                    self.copies[name] = self._copy(last)
        if not self._pool.steps or any(step.left for step in self._pool.steps.values()):
            self._pool.at(self._pool.now + LOOK_SECONDS, self._look)

    def _last_items(self, step: Step) -> list[str]:
        """Return the items left of the groups that are nearest to being whole."""
        wanted = math.ceil(SHARE * len(step.groups)) - len(step.whole_at)
        open_groups = sorted((left, name) for name, left in step.groups.items() if left)
        groups = {name for _left, name in open_groups[: max(0, wanted)]}
        items = {run.item.item: run.item.group for _engine, run in self._pool.runs}
        return [item for item, group in items.items() if group in groups]

    def _copy(self, last: list[str]) -> Copies:
        pool, copies = self._pool, Copies(self._pool.now)
        taken = {name: len(e.running) + len(e.queue) for name, e in pool.engines.items()}
        for item in sorted(last, key=lambda item: -pool.lengths[item]):
            free = [e for name, e in pool.engines.items() if taken[name] < pool.shape.slots]
            if not free:
                break
            fastest = min(free, key=pool.pace)
            taken[fastest.name] += 1
            copies.ends[item] = pool.now + pool.lengths[item] * pool.pace(fastest)
        return copies


def step_end(pool: EnginePool, name: str, copies: Copies | None) -> float:
    """Return when the groups that the trainer waits for are whole, with copies or without."""
    ends = {} if copies is None else copies.ends
    whole: dict[str, float] = {}
    for item, at in pool.ended_at.items():
        group = item.rpartition("-")[0]
        if group in pool.steps[name].groups:
            whole[group] = max(whole.get(group, 0.0), min(at, ends.get(item, math.inf)))
    wanted = math.ceil(SHARE * len(whole))
    return sorted(whole.values())[wanted - 1] - pool.steps[name].asked_at


def compare(label: str, trouble: str) -> None:
    """Print how often a copy would be whole first, and how much sooner steps would end."""
    plain: list[float] = []
    copied: list[float] = []
    begun = won = 0
    for seed in SEEDS:
        pool = EnginePool(Shape(), seed)
        watch = CopyWatch(pool)
        spoil(pool, trouble)
        pool.play(STEPS)
        for name in pool.steps:
            copies = watch.copies.get(name)
            ends = {} if copies is None else copies.ends
            begun += len(ends)
            won += sum(end < pool.ended_at[item] for item, end in ends.items())
            plain.append(step_end(pool, name, None))
            copied.append(step_end(pool, name, copies))
    print(
        f"{label}: {len(plain)} steps, {begun} copies, {won} first; mean step {fmean(plain):.3f} s,"
        f" with copies {fmean(copied):.3f} s; longest {max(plain):.2f} s, {max(copied):.2f} s"
    )


def spoil(pool: EnginePool, trouble: str) -> None:
    """Let engines turn four times slower, or dark, in the middle of each step."""
    engines = list(pool.engines.values())
    for step in range(STEPS):
        at = step * pool.shape.every_seconds + 1.0
        if trouble == "one slow":
            _during(pool, engines[step : step + 1], at, 4.0)
        elif trouble == "quarter slow":
            _during(pool, engines[step::4], at, 4.0)
        elif trouble == "dark":
            _during(pool, engines[step : step + 2], at, math.inf)


def _during(pool: EnginePool, engines: list[Engine], at: float, slow: float) -> None:
    def turn(to: float) -> None:
        for engine in engines:
            engine.slow = to

    pool.at(at, lambda: turn(slow))
    pool.at(at + 3.0, lambda: turn(1.0))


def main() -> None:
    """Compare without trouble and with engines that turn slow or dark."""
    compare("unlike engines", "")
    compare("one turns four times slower", "one slow")
    compare("a quarter turn four times slower", "quarter slow")
    compare("two go dark", "dark")


if __name__ == "__main__":
    main()
