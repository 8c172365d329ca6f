"""Evidence about engines: which of them may get new work, and how loaded they are.

An engine is eligible only while fresh evidence vouches for it: its own report, read within
`evidence_seconds`, saying that it serves. Absence of news makes it ineligible, and so does any
sign of leaving, whichever comes first: its report, the machine list, or a refusal.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass

from stagewalk.common.identities import AttemptId, EngineName, ModelName, ProcessIdentity
from stagewalk.node.core.instructions import PollEngine
from stagewalk.node.core.platform import (
    EngineReport,
    EngineState,
    Machine,
    MachineKind,
    MachineState,
)
from stagewalk.node.routing.config import EngineTableConfig
from stagewalk.node.routing.engine_record import AttemptLoad, EngineRecord
from stagewalk.node.routing.subsets import choose_subset


@dataclass(frozen=True, slots=True)
class PoolView:
    """A node's view of the engines that serve one model.

    Attributes
    ----------
    engines
        Eligible engines seen.
    slots
        Sequences they decode at once, in sum.
    load
        Sequences running or waiting at them, corrected for this node's attempts.
    """

    engines: int
    slots: int
    load: int


class EngineTable:
    """Knowledge of all engines this node routes over.

    Parameters
    ----------
    identity
        This node; its name and place decide the subset.
    config
        Polling budget and lifetimes.
    """

    def __init__(self, identity: ProcessIdentity, config: EngineTableConfig) -> None:
        self._identity = identity
        self._config = config
        self._records: dict[EngineName, EngineRecord] = {}
        self._machines: dict[EngineName, Machine] = {}
        self._subset: frozenset[str] = frozenset()
        self._routable: list[EngineRecord] = []
        self._attempts: dict[AttemptId, EngineName] = {}
        self._poll_queue: list[tuple[float, EngineName]] = []
        self._poll_tokens = config.polls_per_second
        self._poll_tokens_at: float | None = None
        self._demand_at = -math.inf

    def handle_machines(self, machines: Iterable[Machine], now: float) -> None:
        """Take the platform's machine list, which may lag behind reality.

        An engine missing from it is kept while its own reports still vouch for it.
        """
        engines = {
            EngineName(machine.name): machine
            for machine in machines
            if machine.kind is MachineKind.ENGINE
        }
        for name, record in self._records.items():
            if name not in engines and record.evidence_until >= now:
                engines[name] = record.machine
        if engines == self._machines:
            return
        self._machines = engines
        self._rebuild(now)

    def handle_report(self, engine: EngineName, report: EngineReport, now: float) -> None:
        """Take an engine's report; a new incarnation resets all that was known of the old."""
        record = self._records.get(engine)
        if record is None:
            return
        sent_at = now if record.poll_sent_at is None else record.poll_sent_at
        record.poll_sent_at = None
        if report.engine != engine or not self._is_news(record, report):
            return
        self._translate_clock(record, report, now)
        was_serving = record.report is not None and record.report.state is EngineState.SERVING
        if report.state is EngineState.SERVING and not was_serving:
            record.serving_since = now
        reported_at = min(now, report.generated_at + record.clock_offset)
        record.take_report(report, reported_at)
        record.evidence_until = min(
            sent_at + self._config.evidence_seconds,
            reported_at + self._config.evidence_seconds + self._config.report_lag_seconds,
        )
        if reported_at > record.refused_at:
            record.refused_until = min(record.refused_until, record.spared_until)

    def handle_report_failed(self, engine: EngineName, now: float) -> None:
        """Note that a poll failed: its evidence goes on expiring."""
        record = self._records.get(engine)
        if record is not None:
            record.poll_sent_at = None

    def note_demand(self, now: float) -> None:
        """Note that a request asks for an engine: an idle node begins to poll faster."""
        if now - self._demand_at > self._config.idle_after_seconds:
            self._poll_queue = [(min(at, now), name) for at, name in self._poll_queue]
            heapq.heapify(self._poll_queue)
        self._demand_at = now

    def note_started(
        self, engine: EngineName, attempt: AttemptId, expected_tokens: float, now: float
    ) -> None:
        """Note that this node sent an attempt to an engine."""
        record = self._records.get(engine)
        if record is None:
            return
        record.begin_attempt(attempt, AttemptLoad(now, expected_tokens))
        self._attempts[attempt] = engine

    def note_progress(self, attempt: AttemptId, now: float) -> None:
        """Note that an attempt's engine generates: it is not failing."""
        record = self._record_of(attempt)
        if record is not None:
            record.failures_in_row = 0

    def note_ended(self, attempt: AttemptId, now: float) -> None:
        """Note that an attempt ended, however it did."""
        record = self._record_of(attempt)
        self._attempts.pop(attempt, None)
        if record is not None:
            record.end_attempt(attempt, now)

    def note_refused(
        self, engine: EngineName, retry_after_seconds: float | None, now: float
    ) -> bool:
        """Note a refusal: no new work until a report made after it says that it serves.

        Return whether the engine looked full: else it refused for its state, as when it
        drains or swaps weights, which says nothing about the pool's room.
        """
        record = self._records.get(engine)
        if record is None or record.report is None:
            return False
        pause = self._config.refusal_pause_seconds
        if retry_after_seconds is not None:
            pause = min(pause, retry_after_seconds)
        record.refused_at = now
        record.refused_until = math.inf
        record.spared_until = now + pause
        report = record.report
        return report.running + report.waiting + record.added_sequences >= report.batch_limit

    def record(self, engine: EngineName) -> EngineRecord | None:
        """Return what is known of an engine."""
        return self._records.get(engine)

    def names(self) -> frozenset[EngineName]:
        """Return the names of the engines routed over, or with attempts of this node."""
        return frozenset(self._records)

    def eligible(self, model: ModelName, now: float) -> list[EngineRecord]:
        """Return the engines of the subset that may get new work for a model, by name."""
        return [
            record
            for record in self._routable
            if record.report is not None and record.report.model == model and record.serves(now)
        ]

    def pool_view(self, model: ModelName, now: float) -> PoolView:
        """Return slots and load of the engines that serve a model, as far as they are seen."""
        records = self.eligible(model, now)
        slots = 0
        load = 0
        for record in records:
            report = record.report
            if report is None:
                continue
            slots += report.batch_limit
            load += max(0, report.running + report.waiting + record.added_sequences)
        return PoolView(len(records), slots, load)

    def tick(self, now: float) -> list[PollEngine]:
        """Return the polls that are due, within the budget; none is doubled in flight."""
        self._refill_poll_tokens(now)
        polls: list[PollEngine] = []
        idle = now - self._demand_at > self._config.idle_after_seconds
        interval = (
            self._config.idle_poll_interval_seconds if idle else self._config.poll_interval_seconds
        )
        queue = self._poll_queue
        while queue and queue[0][0] <= now and self._poll_tokens >= 1.0:
            _, engine = heapq.heappop(queue)
            record = self._records.get(engine)
            if record is None:
                continue
            heapq.heappush(queue, (now + interval, engine))
            if self._poll_in_flight(record, now):
                continue
            self._poll_tokens -= 1.0
            record.poll_sent_at = now
            polls.append(PollEngine(engine, record.machine.address))
        return polls

    def _poll_in_flight(self, record: EngineRecord, now: float) -> bool:
        sent_at = record.poll_sent_at
        return sent_at is not None and now - sent_at < self._config.poll_timeout_seconds

    def _refill_poll_tokens(self, now: float) -> None:
        rate = self._config.poll_budget(len(self._machines))
        if self._poll_tokens_at is not None:
            earned = (now - self._poll_tokens_at) * rate
            self._poll_tokens = min(rate, self._poll_tokens + earned)
        self._poll_tokens_at = now

    def _record_of(self, attempt: AttemptId) -> EngineRecord | None:
        engine = self._attempts.get(attempt)
        return None if engine is None else self._records.get(engine)

    def _is_news(self, record: EngineRecord, report: EngineReport) -> bool:
        """Drop reports of older incarnations or older than the last; reset at a newer one."""
        known = record.report
        if known is None:
            return True
        if report.incarnation != known.incarnation:
            if report.incarnation < known.incarnation:
                return False
            record.forget()
            return True
        age = known.generated_at - report.generated_at
        if age > self._config.clock_step_seconds:
            record.clock_offset = math.inf
            return True
        return age <= 0

    def _translate_clock(self, record: EngineRecord, report: EngineReport, now: float) -> None:
        """Track the least lag seen: `generated_at` is of the engine's clock, not of ours."""
        offset = now - report.generated_at
        drifted = (now - record.clock_offset_at) * self._config.clock_drift_fraction
        record.clock_offset = min(offset, record.clock_offset + drifted)
        record.clock_offset_at = now

    def _rebuild(self, now: float) -> None:
        live = [
            machine for machine in self._machines.values() if machine.state is MachineState.LIVE
        ]
        self._subset = choose_subset(
            self._identity.name, self._identity.placement, live, self._config
        )
        chosen = {EngineName(name) for name in self._subset}
        running = {engine for engine in self._attempts.values() if engine in self._machines}
        old = self._records
        self._records = {}
        for name in sorted(chosen | running):
            machine = self._machines[name]
            record = old.get(name)
            if record is None or record.machine.address != machine.address:
                record = EngineRecord(machine=machine)
            record.machine = machine
            self._records[name] = record
        due = {name: at for at, name in sorted(self._poll_queue, reverse=True)}
        self._poll_queue = sorted((due.get(name, now), name) for name in self._records)
        self._routable = [
            record for record in self._records.values() if record.machine.name in self._subset
        ]
