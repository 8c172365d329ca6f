"""The platform as hollow nodes meet it: answers given in the process that asks.

Calls to the platform and to engines are counted but cross no socket, so that 420 nodes fit on
one machine; what such a call costs over HTTP is measured by itself in `http_costs`.
"""

from __future__ import annotations

import heapq
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

import anyio

from stagewalk.common.identities import (
    EngineName,
    Epoch,
    Incarnation,
    ModelName,
    RecordId,
    WeightVersion,
)
from stagewalk.node.core.events import (
    AppendConfirmed,
    EngineReported,
    Event,
    LogRead,
    LogReadFailed,
    MachinesRead,
    OrderAnswered,
    VersionsRead,
)
from stagewalk.node.core.instructions import (
    AppendRecord,
    OrderEngine,
    PollEngine,
    ReadLog,
    ReadVersions,
)
from stagewalk.node.core.platform import (
    EngineReport,
    EngineState,
    LogRecord,
    Machine,
    OrderOutcome,
    PublishedVersion,
)

ANSWER_SECONDS = 0.005
LOG_WAIT_SECONDS = 5.0
PUMP_INTERVAL_SECONDS = 0.02
FIRST_VERSION = WeightVersion(1)

Deliver = Callable[[Event], None]


@dataclass(slots=True)
class CallCounts:
    """Calls to the platform and to engines by the nodes of this process."""

    engine_polls: int = 0
    machine_list_reads: int = 0
    log_reads: int = 0
    appends: int = 0


@dataclass(slots=True)
class _WaitingRead:
    read: ReadLog
    deliver: Deliver
    ends_at: float


@dataclass(slots=True)
class HollowPlatform:
    """Answers the instructions of all nodes in this process.

    `append` hands a record to the coordinator, which orders the records of all processes.
    """

    append: Callable[[AppendRecord], None]
    model_of_service: Callable[[str], ModelName]
    counts: CallCounts = field(default_factory=CallCounts)
    _machines: tuple[Machine, ...] = ()
    _services: dict[str, str] = field(default_factory=dict)
    _streams: defaultdict[str, list[LogRecord]] = field(default_factory=lambda: defaultdict(list))
    _waiting: list[_WaitingRead] = field(default_factory=list)
    _appending: dict[RecordId, Deliver] = field(default_factory=dict)
    _answers: list[tuple[float, int, Deliver, Event]] = field(default_factory=list)
    _order: count[int] = field(default_factory=count)

    def set_machines(self, machines: tuple[Machine, ...]) -> None:
        """Set what the machine list shows."""
        self._machines = machines
        self._services = {machine.name: machine.service for machine in machines}

    def read_machines(self, deliver: Deliver) -> None:
        """Answer a read of the machine list."""
        self.counts.machine_list_reads += 1
        self._answer(deliver, MachinesRead(self._machines))

    def poll(self, poll: PollEngine, deliver: Deliver) -> None:
        """Answer for an engine that serves and idles."""
        self.counts.engine_polls += 1
        self._answer(deliver, EngineReported(poll.engine, self._report(poll.engine)))

    def order(self, order: OrderEngine, deliver: Deliver) -> None:
        """Accept an order."""
        answer = OrderAnswered(order.engine, order.order.order_id, OrderOutcome.ACCEPTED, "")
        self._answer(deliver, answer)

    def read_versions(self, read: ReadVersions, deliver: Deliver) -> None:
        """Answer a read of a model's versions: one, that all engines run."""
        published = (PublishedVersion(read.model, FIRST_VERSION, 1, 0.0),)
        self._answer(deliver, VersionsRead(read.model, published))

    def read_log(self, read: ReadLog, reached: bool, deliver: Deliver) -> None:
        """Answer a read of the log, at once if there is news."""
        self.counts.log_reads += 1
        if not reached:
            self._answer(deliver, LogReadFailed(read.stream, "cut off"))
        elif len(self._streams[read.stream]) > read.offset:
            self._answer(deliver, self._page(read))
        else:
            ends_at = time.monotonic() + LOG_WAIT_SECONDS
            self._waiting.append(_WaitingRead(read, deliver, ends_at))

    def append_record(self, append: AppendRecord, deliver: Deliver) -> None:
        """Append a record through the coordinator."""
        self.counts.appends += 1
        self._appending[append.record_id] = deliver
        self.append(append)

    def record_appended(self, stream: str, record: LogRecord) -> None:
        """Take the log's next record and answer those who wait for it."""
        self._streams[stream].append(record)
        appender = self._appending.pop(record.record_id, None)
        if appender is not None:
            confirmed = AppendConfirmed(stream, record.record_id, record.offset)
            self._answer(appender, confirmed)
        waiting = [wait for wait in self._waiting if wait.read.stream == stream]
        self._waiting = [wait for wait in self._waiting if wait.read.stream != stream]
        for wait in waiting:
            self._answer(wait.deliver, self._page(wait.read))

    async def pump(self) -> None:
        """Deliver answers when they are due, for ever."""
        while True:
            await anyio.sleep(PUMP_INTERVAL_SECONDS)
            now = time.monotonic()
            self._end_waits(now)
            while self._answers and self._answers[0][0] <= now:
                _, _, deliver, event = heapq.heappop(self._answers)
                deliver(event)

    def _end_waits(self, now: float) -> None:
        ended = [wait for wait in self._waiting if wait.ends_at <= now]
        if not ended:
            return
        self._waiting = [wait for wait in self._waiting if wait.ends_at > now]
        for wait in ended:
            wait.deliver(self._page(wait.read))

    def _page(self, read: ReadLog) -> LogRead:
        records = self._streams[read.stream]
        return LogRead(read.stream, tuple(records[read.offset :]), len(records))

    def _answer(self, deliver: Deliver, event: Event) -> None:
        due = time.monotonic() + ANSWER_SECONDS
        heapq.heappush(self._answers, (due, next(self._order), deliver, event))

    def _report(self, engine: EngineName) -> EngineReport:
        return EngineReport(
            engine=engine,
            incarnation=Incarnation(1),
            model=self.model_of_service(self._services.get(engine, "")),
            state=EngineState.SERVING,
            active_version=FIRST_VERSION,
            staged_versions=(FIRST_VERSION,),
            epoch=Epoch(0),
            running=0,
            waiting=0,
            pending_tokens=0,
            tokens_per_second=0.0,
            batch_limit=32,
            kv_used_tokens=0,
            kv_capacity_tokens=65536,
            generated_at=time.monotonic(),
        )
