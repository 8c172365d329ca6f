"""Decides which engines have memory for an item, by the tokens expected of their runs. Pure.

An engine whose memory runs out stops the newest of its runs in the middle, so the load that
this answers is long runs on few engines. Owns what is expected of the runs here and of those of
other nodes. Inputs: the runs of this node with their prompts and the events held, the engine's
report of its load, and the capacity in tokens from the service's configuration. Relies on
`length_estimate` for the events to come.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from statistics import fmean

from stagewalk.gateway.batches.attempts import RunningAttempts, RunningItem
from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.memory_fit import RoomSearch
from stagewalk.gateway.batches.messages import ItemAwaitingMemory
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.routes.route import EngineLimits, Service
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker

ServiceLookup = Callable[[str], Service | None]

MARGIN_SHARE = 0.15
"""Part of an engine's memory that is left free: lengths are guesses, and runs of other nodes are
known by their number alone."""

MAXIMUM_WITHHELD_SECONDS = 0.5
"""An item that no engine has memory for waits at most this long: then it goes where least is
lacking, since a run that is stopped and read again costs its step less than a longer wait."""

WITHHELD_PAUSE_SECONDS = 0.1
"""How long such an item waits until engines are asked again: they free little memory meanwhile."""

MAXIMUM_ENGINES_ASKED = 32
"""How many engines, the cheapest first, are asked for one item: others are busier still."""

OTHERS_VALID_SECONDS = 4.0
"""How long the runs of other nodes that a report told of count, fewer as time goes by: runs take
seconds, and an engine reports only with answers."""

MAXIMUM_RUNS_SAMPLED = 200
"""Of how many runs of this node the mean is taken, which stands for a run of another node."""

RUNS_VALID_SECONDS = 0.2
"""How long what runs are expected to hold counts: an engine makes a few events meanwhile."""


def unknown_service(_name: str) -> Service | None:
    """Return that no service is known."""
    return None


@dataclass(frozen=True, slots=True)
class ExpectedRun:
    """What a run holds, and what it is expected to make.

    Attributes
    ----------
    held
        Tokens of its text so far.
    left
        Tokens to come.
    """

    held: float
    left: float


def expected_peak(runs: Iterable[ExpectedRun], within: float = math.inf) -> float:
    """Return the most tokens of text that runs are expected to hold at a time.

    Runs of an engine advance alike, one token each in a step, and give their memory back as they
    end: the peak is just before one of them ends.

    Parameters
    ----------
    within
        Steps ahead that count.
    """
    by_end = sorted(runs, key=lambda run: run.left, reverse=True)
    peak = held = 0.0
    for count, run in enumerate(by_end, start=1):
        held += run.held
        peak = max(peak, held + count * min(run.left, within))
    return peak


@dataclass(slots=True)
class _EngineRuns:
    """The runs of this node at an engine, as of one moment.

    Attributes
    ----------
    count, newest
        How many attempts there are, and the number of the newest.
    parts
        Tokens by prompt part, each held once.
    prompt_tokens, whole_tokens
        Tokens of these parts, and of all texts once they are whole.
    """

    count: int
    newest: int
    runs: list[ExpectedRun]
    parts: dict[str, int]
    prompt_tokens: int
    whole_tokens: float


@dataclass(frozen=True, slots=True)
class _OtherRuns:
    """Requests of other nodes at an engine, as of a report."""

    count: int
    at: float

    def left(self, now: float) -> float:
        return self.count * max(0.0, 1.0 - (now - self.at) / OTHERS_VALID_SECONDS)


class EngineMemory:
    """The engines' memory as this node expects it to be taken.

    Parameters
    ----------
    service
        Finds a service of the configuration in force by its name.
    """

    def __init__(
        self,
        workers: WorkerTable,
        attempts: RunningAttempts,
        lengths: LengthEstimate,
        service: ServiceLookup,
    ) -> None:
        self._workers = workers
        self._attempts = attempts
        self._lengths = lengths
        self._service = service
        self._known: dict[str, _EngineRuns] = {}
        """By engine, none from before `_known_since`."""
        self._known_since = -math.inf
        self._others: dict[str, _OtherRuns] = {}
        """By engine."""
        self._usual_run: dict[str, float] = {}
        """By service, tokens of a run here in the mean: other nodes run the like."""
        self._withheld: list[ItemAwaitingMemory] = []

    def record_report(self, engine: Worker, load: WorkerLoad | None, now: float) -> None:
        """Record what an engine reported of its load: how many runs are of other nodes."""
        if load is None or self.limits(engine) is None:
            return
        others = max(0, load.running + load.waiting - engine.in_flight)
        self._others[engine.announcement.worker] = _OtherRuns(others, now)

    def fits(self, engine: Worker, item: ItemRun, now: float) -> bool:
        """Whether an engine is expected to run an item without stopping it or another one."""
        return _MemorySearch(self, item, now).fits(engine)

    def keeps_waiting(self, engine: Worker) -> bool:
        """Whether an engine has not begun a run of this node yet.

        Nodes that fill an engine in the same moment know nothing of each other until it reports
        its load with the head of an answer; and an engine that is full begins nothing.
        """
        attempts = self._attempts.at(engine.announcement.worker)
        return any(running.item.unbegun for running in reversed(attempts.values()))

    def search(self, item: ItemRun, now: float) -> RoomSearch:
        """Begin a search for a waiting item."""
        return _MemorySearch(self, item, now)

    def limits(self, engine: Worker) -> EngineLimits | None:
        """Return what an engine holds, None if that isn't known."""
        service = self._service(engine.announcement.service)
        return None if service is None else service.engine

    def expected_run(self, item: ItemRun, limits: EngineLimits) -> ExpectedRun:
        """Return what an item holds and is expected to make at engines with such limits."""
        scale = limits.tokens_per_event
        held = len(item.events) * scale
        left = self._lengths.expected_left(item, scale) * scale
        if item.prompt.maximum_output_tokens is not None:
            left = min(left, max(0.0, item.prompt.maximum_output_tokens - held))
        return ExpectedRun(held, left)

    def lacking(
        self, engine: Worker, limits: EngineLimits, item: ItemRun, added: ExpectedRun, now: float
    ) -> float:
        """Return how many tokens an engine lacks for an item; 0.0 or less: there is room.

        Runs of the engine count as long as the item is expected to run: what they need after its
        end is none of its concern. An engine with nothing running takes any item.

        Parameters
        ----------
        added
            What is expected of the item, see `expected_run`.
        """
        others = self._others_at(engine, now)
        if not others and not engine.in_flight:
            return 0.0
        known = self._runs_at(engine, limits, now)
        prompts = known.prompt_tokens
        prompts += sum(p.tokens for p in item.prompt.parts if p.part not in known.parts)
        own_size = item.prompt.tokens + added.held + added.left
        other_run = self._usual_run.get(engine.announcement.service, own_size)
        room = limits.memory_tokens * (1.0 - MARGIN_SHARE) - prompts - others * other_run
        whole = known.whole_tokens + added.held + added.left
        if whole <= room:
            return whole - room
        return expected_peak([*known.runs, added], added.left) - room

    def record_withheld(self, withheld: ItemAwaitingMemory) -> None:
        """Keep for the log that an item is withheld."""
        self._withheld.append(withheld)

    def take_withheld(self) -> list[ItemAwaitingMemory]:
        """Return the items withheld since the last call, for the log."""
        withheld, self._withheld = self._withheld, []
        return withheld

    def expected_tokens(self, now: float) -> dict[str, int]:
        """Return the tokens that the engines with runs of this node are expected to hold at most.

        Runs of other nodes are included.
        """
        expected: dict[str, int] = {}
        for engine in self._workers.all():
            name = engine.announcement.worker
            limits = self.limits(engine)
            if limits is None or not self._attempts.at(name):
                continue
            known = self._runs_at(engine, limits, now)
            usual_run = self._usual_run.get(engine.announcement.service, 0.0)
            others = self._others_at(engine, now) * usual_run
            expected[name] = round(known.prompt_tokens + others + expected_peak(known.runs))
        return expected

    def _others_at(self, engine: Worker, now: float) -> float:
        """Return how many requests of other nodes an engine is believed to have."""
        reported = self._others.get(engine.announcement.worker)
        return 0.0 if reported is None else reported.left(now)

    def _runs_at(self, engine: Worker, limits: EngineLimits, now: float) -> _EngineRuns:
        if now - self._known_since > RUNS_VALID_SECONDS:
            self._known.clear()
            self._known_since = now
            self._record_usual_runs()
            self._others = {name: r for name, r in self._others.items() if r.left(now) > 0.0}
        name = engine.announcement.worker
        attempts = self._attempts.at(name)
        known = self._known.get(name)
        newest = next(reversed(attempts), 0)
        if known is None or known.newest != newest or known.count != len(attempts):
            known = self._known[name] = self._expect(attempts, limits)
        return known

    def _record_usual_runs(self) -> None:
        tokens: dict[str, list[float]] = {}
        for running in itertools.islice(self._attempts, MAXIMUM_RUNS_SAMPLED):
            attempt = running.item.running
            engine = None if attempt is None else self._workers.worker(attempt.worker)
            limits = None if engine is None else self.limits(engine)
            if engine is None or limits is None:
                continue
            run = self.expected_run(running.item, limits)
            of_service = tokens.setdefault(engine.announcement.service, [])
            of_service.append(run.held + run.left + running.item.prompt.tokens)
        self._usual_run = {service: fmean(found) for service, found in tokens.items()}

    def _expect(self, attempts: dict[int, RunningItem], limits: EngineLimits) -> _EngineRuns:
        items = [running.item for running in attempts.values()]
        runs = [self.expected_run(item, limits) for item in items]
        parts = {p.part: p.tokens for item in items for p in item.prompt.parts}
        newest = next(reversed(attempts), 0)
        whole = sum(run.held + run.left for run in runs)
        return _EngineRuns(len(items), newest, runs, parts, sum(parts.values()), whole)


class _MemorySearch:
    """A search of the engines that could take an item: keeps where least is lacking."""

    def __init__(self, memory: EngineMemory, item: ItemRun, now: float) -> None:
        self._memory = memory
        self._item = item
        self._now = now
        self._asked = 0
        self._kept_waiting = False
        self._limits: EngineLimits | None = None
        self._added = ExpectedRun(0.0, 0.0)
        """What is expected of the item at engines with these limits."""
        self._best: Worker | None = None
        self._least_lacking = math.inf

    def fits(self, engine: Worker) -> bool:
        limits = self._memory.limits(engine)
        if limits is None:
            return True
        if self._asked == MAXIMUM_ENGINES_ASKED:
            return False
        if self._memory.keeps_waiting(engine):
            self._kept_waiting = True
            return False
        self._asked += 1
        if limits is not self._limits:
            self._limits = limits
            self._added = self._memory.expected_run(self._item, limits)
        lacking = self._memory.lacking(engine, limits, self._item, self._added, self._now)
        if lacking < self._least_lacking:
            self._best, self._least_lacking = engine, lacking
        return lacking <= 0.0

    @property
    def closed(self) -> bool:
        return self._kept_waiting and self._asked == 0

    def last_resort(self) -> Worker | None:
        """Return the engine where least is lacking once the item has waited long enough."""
        if self._best is None:
            return None
        item = self._item
        if item.withheld_since is None:
            item.withheld_since = self._now
            lacking = round(self._least_lacking)
            self._memory.record_withheld(ItemAwaitingMemory(item.spec.item, self._asked, lacking))
        if self._now - item.withheld_since >= MAXIMUM_WITHHELD_SECONDS:
            return self._best
        item.not_before = self._now + WITHHELD_PAUSE_SECONDS
        return None
