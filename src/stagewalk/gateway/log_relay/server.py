"""Serves calls of the log that other nodes relay, by this node's direct path to the log.

Relies on `messages` for the encoding. A call is never relayed twice.
"""

from __future__ import annotations

from collections.abc import Callable

from expression import Result

from stagewalk.gateway.log_relay.messages import (
    AppendAtCall,
    AppendCall,
    AppendKeyedCall,
    LogAnswer,
    LogCall,
    NewestCall,
    ReadCall,
    ReadKeyedCall,
    decode_call,
    encode_message,
)
from stagewalk.gateway.ports.partitioned_log import LogFailure, LogFault, PartitionedLog

RELAY_CUT_OFF = LogFailure(LogFault.REFUSED, "the asked node does not reach the log either")


class LogRelay:
    """Handler of relayed calls.

    Parameters
    ----------
    direct_path_failing
        Whether this node's own direct calls fail: it then answers `RELAY_CUT_OFF` at once, and the
        caller asks another node.
    """

    def __init__(self, direct: PartitionedLog, direct_path_failing: Callable[[], bool]) -> None:
        self._direct = direct
        self._cut_off = direct_path_failing

    async def handle(self, content: bytes) -> bytes | None:
        """Execute a call and return the encoded answer, None if the bytes are malformed."""
        call = decode_call(content)
        if call is None:
            return None
        if self._cut_off():
            return encode_message(LogAnswer(failure=RELAY_CUT_OFF))
        return encode_message(await self._execute(call))

    async def _execute(self, call: LogCall) -> LogAnswer:
        log = self._direct
        match call:
            case AppendCall():
                appended = await log.append(call.partition, call.payloads, call.sequence)
                return _offset_answer(appended)
            case AppendAtCall():
                return _offset_answer(await log.append_at(call.partition, call.payload, call.end))
            case AppendKeyedCall():
                return _offset_answer(await log.append_keyed(call.partition, call.key, call.value))
            case ReadCall():
                page = await log.read(call.partition, call.offset, call.wait_seconds)
                if page.is_ok():
                    return LogAnswer(page=page.ok)
                return LogAnswer(failure=page.error)
            case ReadKeyedCall():
                keyed = await log.read_keyed(call.partition, call.offset, call.wait_seconds)
            case NewestCall():
                keyed = await log.newest(call.partition)
        return LogAnswer(keyed=keyed.ok) if keyed.is_ok() else LogAnswer(failure=keyed.error)


def _offset_answer(result: Result[int, LogFailure]) -> LogAnswer:
    return LogAnswer(offset=result.ok) if result.is_ok() else LogAnswer(failure=result.error)
