"""The engines this node routes to: which may get new work, and how loaded they are.

An engine is eligible only while a report read within `evidence_seconds` says that it serves. It
becomes ineligible when the report expires, or as soon as its report, the machine list or a refusal
shows that it is leaving. The rules are in `evidence`, `polling` and `subsets`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from stagewalk.common.identities import AttemptId, EngineName, ModelName, ProcessIdentity
from stagewalk.node.core.instructions import PollEngine
from stagewalk.node.core.platform import EngineReport, Machine, MachineKind, MachineState
from stagewalk.node.routing import evidence
from stagewalk.node.routing.config import EngineTableConfig
from stagewalk.node.routing.engine_record import AttemptLoad, EngineRecord
from stagewalk.node.routing.polling import PollSchedule
from stagewalk.node.routing.subsets import choose_subset


@dataclass(frozen=True, slots=True)
class PoolView:
    """A node's view of the engines that serve one model.

    Attributes
    ----------
    engines
        Number of eligible engines.
    slots
        Total of the sequences they can decode concurrently.
    load
        Sequences running or waiting at them, corrected for this node's attempts.
    """

    engines: int
    slots: int
    load: int


class EngineTable:
    """State of all engines this node routes to.

    Parameters
    ----------
    identity
        This node; its name and place decide the subset.
    config
        Polling budget and report lifetimes.
    """

    def __init__(self, identity: ProcessIdentity, config: EngineTableConfig) -> None:
        self._identity = identity
        self._config = config
        self._records: dict[EngineName, EngineRecord] = {}
        self._machines: dict[EngineName, Machine] = {}
        self._subset: frozenset[str] = frozenset()
        self._routable: list[EngineRecord] = []
        self._attempts: dict[AttemptId, EngineName] = {}
        self._polls = PollSchedule(config)

    def handle_machines(self, machines: Iterable[Machine], now: float) -> None:
        """Apply the platform's machine list, which may be out of date.

        An engine missing from it is kept while its last report is valid.
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
        """Apply an engine's report."""
        record = self._records.get(engine)
        if record is not None:
            evidence.apply_report(record, report, self._config, now)

    def handle_report_failed(self, engine: EngineName) -> None:
        """Record that a poll failed; the last report stays valid until it expires."""
        record = self._records.get(engine)
        if record is not None:
            record.poll_sent_at = None

    def record_demand(self, now: float) -> None:
        """Record that a request needs an engine, which ends idle polling."""
        self._polls.record_demand(now)

    def record_started(
        self, engine: EngineName, attempt: AttemptId, expected_tokens: float, now: float
    ) -> None:
        """Record that this node sent an attempt to an engine."""
        record = self._records.get(engine)
        if record is None:
            return
        record.begin_attempt(attempt, AttemptLoad(now, expected_tokens))
        self._attempts[attempt] = engine

    def record_progress(self, attempt: AttemptId) -> None:
        """Record that an attempt's engine generates, which resets its failure count."""
        record = self._record_of(attempt)
        if record is not None:
            record.failures_in_row = 0

    def record_ended(self, attempt: AttemptId, now: float) -> None:
        """Record that an attempt ended, whatever its outcome."""
        record = self._record_of(attempt)
        self._attempts.pop(attempt, None)
        if record is not None:
            record.end_attempt(attempt, now)

    def record_refused(
        self, engine: EngineName, retry_after_seconds: float | None, now: float
    ) -> bool:
        """Record that an engine refused work; return whether it looked full."""
        record = self._records.get(engine)
        if record is None:
            return False
        return evidence.apply_refusal(record, retry_after_seconds, self._config, now)

    def record(self, engine: EngineName) -> EngineRecord | None:
        """Return the record of an engine, if there is one."""
        return self._records.get(engine)

    def names(self) -> frozenset[EngineName]:
        """Return the names of the engines this node routes to or has attempts at."""
        return frozenset(self._records)

    def eligible(self, model: ModelName, now: float) -> list[EngineRecord]:
        """Return the engines of the subset that may get new work for a model, sorted by name."""
        return [
            record
            for record in self._routable
            if record.report is not None and record.report.model == model and record.serves(now)
        ]

    def pool_view(self, model: ModelName, now: float) -> PoolView:
        """Return the slots and load of the eligible engines that serve a model."""
        records = self.eligible(model, now)
        slots = 0
        load = 0
        for record in records:
            slots += 0 if record.report is None else record.report.batch_limit
            load += record.load
        return PoolView(len(records), slots, load)

    def tick(self, now: float) -> list[PollEngine]:
        """Return the polls that are due, within the budget, skipping those in flight."""
        engines = self._polls.due(
            len(self._machines), lambda engine: self._poll_in_flight(engine, now), now
        )
        return [self._start_poll(engine, now) for engine in engines]

    def _poll_in_flight(self, engine: EngineName, now: float) -> bool:
        sent_at = self._records[engine].poll_sent_at
        return sent_at is not None and now - sent_at < self._config.poll_timeout_seconds

    def _start_poll(self, engine: EngineName, now: float) -> PollEngine:
        record = self._records[engine]
        record.poll_sent_at = now
        return PollEngine(engine, record.machine.address)

    def _record_of(self, attempt: AttemptId) -> EngineRecord | None:
        engine = self._attempts.get(attempt)
        return None if engine is None else self._records.get(engine)

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
        self._polls.set_engines(self._records, now)
        self._routable = [
            record for record in self._records.values() if record.machine.name in self._subset
        ]
