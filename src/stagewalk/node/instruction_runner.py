"""Dispatches each instruction of the core, by its type, to the part that carries it out.

Handlers don't block: they start tasks for I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stagewalk.common.identities import Incarnation
from stagewalk.common.logs.lines import LOG_LEVELS, log_event
from stagewalk.node.core.instructions import (
    AcceptLot,
    AppendRecord,
    CancelAttempt,
    DeliverSamples,
    ExitProcess,
    FailCall,
    FinishCall,
    Instruction,
    PollEngine,
    ReadLog,
    ReadMachines,
    ReadVersions,
    ScoreSample,
    SendChunk,
    SendEngineOrder,
    SendPeerMessage,
    StartAttempt,
    WriteLogLine,
)
from stagewalk.node.engine_tasks import EngineTasks
from stagewalk.node.open_calls import OpenCalls
from stagewalk.node.peers.peer_transport import PeerTransport
from stagewalk.node.platform_tasks import PlatformTasks

_LEVEL_FIELD = "level"
_DEFAULT_LEVEL = "info"


class InstructionRunner:
    """Dispatches instructions by their type."""

    def __init__(
        self,
        calls: OpenCalls,
        engines: EngineTasks,
        platform: PlatformTasks,
        peers: PeerTransport,
        exit_process: Callable[[Incarnation | None], None],
    ) -> None:
        self._handlers: dict[type[Instruction], Callable[[Any], None]] = {
            SendChunk: calls.send_chunk,
            FinishCall: calls.end,
            FailCall: calls.end,
            AcceptLot: calls.end,
            DeliverSamples: calls.end,
            StartAttempt: engines.start_attempt,
            CancelAttempt: engines.cancel_attempt,
            PollEngine: engines.poll,
            SendEngineOrder: engines.order,
            ReadMachines: platform.read_machines,
            ReadVersions: platform.read_versions,
            ReadLog: platform.read_log,
            AppendRecord: platform.append,
            ScoreSample: platform.score,
            SendPeerMessage: peers.send,
            WriteLogLine: _write_log_event,
            ExitProcess: lambda instruction: exit_process(instruction.restart_above),
        }

    def execute(self, instruction: Instruction) -> None:
        """Carry an instruction out, or start the task that does."""
        self._handlers[type(instruction)](instruction)


def _write_log_event(event: WriteLogLine) -> None:
    fields = dict(event.fields)
    level = str(fields.pop(_LEVEL_FIELD, _DEFAULT_LEVEL))
    log_event(event.name, level if level in LOG_LEVELS else _DEFAULT_LEVEL, **fields)
