"""Access to the log for a node that may be cut off from it: directly or through another node.

Sends hedged calls by both paths, and chooses the outcome to return. Relies on `path_choice` for
the path and on the client of peers for relayed calls.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import anyio
from expression import Error, Ok, Result

from stagewalk.common.identities import Address
from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.log_relay.messages import (
    AppendAtCall,
    AppendCall,
    AppendKeyedCall,
    LogAnswer,
    LogCall,
    NewestCall,
    ReadCall,
    ReadKeyedCall,
    decode_answer,
    encode_message,
)
from stagewalk.gateway.log_relay.path_choice import PathChoice
from stagewalk.gateway.log_relay.server import RELAY_CUT_OFF
from stagewalk.gateway.peer_calls.client import PeerClient, PeerFault
from stagewalk.gateway.ports.partitioned_log import (
    KeyedPage,
    LogFailure,
    LogFault,
    Partition,
    PartitionedLog,
    ProducerSequence,
    RecordPage,
)

Value = TypeVar("Value")

RELAY_PATH = "/log"
RESPONSE_TIMEOUT_SECONDS = 1.5
"""Time-out of another node's answer, in addition to the wait of a read."""

HEDGE_DELAY_SECONDS = 0.4
"""Delay, in addition to the wait of a read, after which an unanswered direct call is relayed as
well: a hundred times the log's response time, and well below the time-out of a call (1.2 s)."""

PEERS_ASKED = 3
"""Maximum number of nodes asked in turn if each replies that it is cut off too."""

_NO_ANSWER = LogFailure(LogFault.UNKNOWN, "no answer yet")
_NOT_CONNECTED = LogFailure(LogFault.REFUSED, "the asked node accepts no connection")


@dataclass(frozen=True, slots=True)
class RelayPeers:
    """Addresses of nodes that relay calls, in this node's region and in others."""

    same_region: Sequence[Address] = ()
    other_regions: Sequence[Address] = ()


@dataclass(frozen=True, slots=True)
class _PeerAnswer:
    """A node that was asked, and its answer; None if it did not answer."""

    peer: Address
    answer: LogAnswer | None


Peers = Callable[[], RelayPeers]
"""Returns the nodes that relay calls at present."""


class RelayedLog:
    """Calls the log directly or through another node, and remembers which path works.

    Only idempotent calls are sent by both paths: appends carry a sequence number, keyed appends set
    the same value again. An `append_at` is sent by one path only; without an answer its caller has
    to read the partition. While calls are relayed, the direct path is probed.
    """

    def __init__(self, direct: PartitionedLog, peers: Peers, client: PeerClient) -> None:
        self._direct = direct
        self._peers = peers
        self._client = client
        self._choice = PathChoice()
        self._peer: Address | None = None

    async def append(
        self, partition: Partition, payloads: Sequence[bytes], sequence: ProducerSequence
    ) -> Result[int, LogFailure]:
        """Append all records or none, once."""
        return await self._call(
            lambda: self._direct.append(partition, payloads, sequence),
            AppendCall(partition, list(payloads), sequence),
            lambda answer: answer.offset,
        )

    async def append_at(
        self, partition: Partition, payload: bytes, end: int
    ) -> Result[int, LogFailure]:
        """Append a record if the partition ends at `end`."""
        if self._choice.relaying:
            call = AppendAtCall(partition, payload, end)
            return await self._relay(call, lambda answer: answer.offset, 0.0)
        return await self._direct.append_at(partition, payload, end)

    async def append_keyed(
        self, partition: Partition, key: str, value: bytes
    ) -> Result[int, LogFailure]:
        """Set a key of a compacted topic."""
        return await self._call(
            lambda: self._direct.append_keyed(partition, key, value),
            AppendKeyedCall(partition, key, value),
            lambda answer: answer.offset,
        )

    async def read(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[RecordPage, LogFailure]:
        """Read from an offset on."""
        return await self._call(
            lambda: self._direct.read(partition, offset, wait_seconds),
            ReadCall(partition, offset, wait_seconds),
            lambda answer: answer.page,
            wait_seconds,
        )

    async def read_keyed(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[KeyedPage, LogFailure]:
        """Read changes of a compacted topic."""
        return await self._call(
            lambda: self._direct.read_keyed(partition, offset, wait_seconds),
            ReadKeyedCall(partition, offset, wait_seconds),
            lambda answer: answer.keyed,
            wait_seconds,
        )

    async def newest(self, partition: Partition) -> Result[KeyedPage, LogFailure]:
        """Read the newest record of each key."""
        return await self._call(
            lambda: self._direct.newest(partition),
            NewestCall(partition),
            lambda answer: answer.keyed,
        )

    async def _call(
        self,
        direct: Callable[[], Awaitable[Result[Value, LogFailure]]],
        call: LogCall,
        extract: Callable[[LogAnswer], Value | None],
        wait_seconds: float = 0.0,
    ) -> Result[Value, LogFailure]:
        relaying = self._choice.relaying
        if not self._choice.direct_first(steady_seconds()):
            relayed = await self._relay(call, extract, wait_seconds)
            if relayed.is_ok():
                return relayed
            answer = await direct()
            self._choice.record_direct(_error_of(answer), steady_seconds())
            return _outcome(answer, relayed)
        relay_after = 0.0 if relaying else wait_seconds + HEDGE_DELAY_SECONDS
        return await self._call_hedged(
            direct, lambda: self._relay(call, extract, wait_seconds), relay_after
        )

    async def _call_hedged(
        self,
        direct: Callable[[], Awaitable[Result[Value, LogFailure]]],
        relay: Callable[[], Awaitable[Result[Value, LogFailure]]],
        relay_after: float,
    ) -> Result[Value, LogFailure]:
        """Call directly; also relay the call once that failed or took longer than a delay.

        The first success is returned; without any, see `_outcome`.
        """
        answers: list[Result[Value, LogFailure]] = []
        relayed: list[Result[Value, LogFailure]] = []
        failed = anyio.Event()
        async with anyio.create_task_group() as tasks:

            async def call_direct() -> None:
                answer = await direct()
                answers.insert(0, answer)
                if self._choice.record_direct(_error_of(answer), steady_seconds()):
                    tasks.cancel_scope.cancel()
                failed.set()

            async def call_relay() -> None:
                with anyio.move_on_after(relay_after):
                    await failed.wait()
                if not failed.is_set():
                    self._choice.record_direct(_NO_ANSWER, steady_seconds())
                answer = await relay()
                relayed.append(answer)
                if answer.is_ok():
                    tasks.cancel_scope.cancel()

            tasks.start_soon(call_direct)
            tasks.start_soon(call_relay)
        if not relayed:
            return answers[0]
        return _outcome(answers[0], relayed[0]) if answers else relayed[0]

    async def _relay(
        self, call: LogCall, extract: Callable[[LogAnswer], Value | None], wait_seconds: float
    ) -> Result[Value, LogFailure]:
        """Relay a call through another node, the same one as long as it answers."""
        before = self._choice.relaying
        asked = await self._ask_peers(call, wait_seconds + RESPONSE_TIMEOUT_SECONDS)
        if asked is None:
            return Error(LogFailure(LogFault.REFUSED, "no other node is known"))
        peer, answer = asked.peer, asked.answer
        failure = _failure_of(answer)
        worked = answer is not None and (
            failure is None or failure.fault not in _INCONCLUSIVE_FAULTS
        )
        self._choice.record_relay(worked, steady_seconds())
        self._peer = peer if worked else None
        if worked and not before:
            log_event("log_relayed", through=str(peer))
        if answer is None or failure is not None:
            return Error(failure or LogFailure(LogFault.UNKNOWN, f"no answer through {peer}"))
        value = extract(answer)
        if value is None:
            return Error(LogFailure(LogFault.UNKNOWN, f"unexpected answer through {peer}"))
        return Ok(value)

    async def _ask_peers(self, call: LogCall, seconds: float) -> _PeerAnswer | None:
        """Ask nodes in turn until one isn't cut off; return the last answer.

        None if no node is known.
        """
        asked: _PeerAnswer | None = None
        for peer in self._candidates():
            asked = _PeerAnswer(peer, await self._send(peer, call, seconds))
            if _failure_of(asked.answer) != RELAY_CUT_OFF:
                break
        return asked

    def _candidates(self) -> list[Address]:
        """Return the nodes to ask in order: the last one used, then those of this region.

        One of another region is included, since a whole region may be cut off from the log.
        """
        known = self._peers()
        same_region = [peer for peer in known.same_region if peer != self._peer]
        other_regions = [peer for peer in known.other_regions if peer != self._peer]
        others = random.sample(
            same_region, min(len(same_region), PEERS_ASKED - bool(other_regions))
        )
        others += random.sample(other_regions, min(len(other_regions), PEERS_ASKED - len(others)))
        return others if self._peer is None else [self._peer, *others]

    @property
    def direct_path_failing(self) -> bool:
        """Whether the last call by the direct path failed."""
        return self._choice.direct_fails

    async def _send(self, peer: Address, call: LogCall, seconds: float) -> LogAnswer | None:
        message = encode_message(call)
        answer = await self._client.exchange(peer, RELAY_PATH, message, seconds)
        if answer.is_error():
            return LogAnswer(failure=_NOT_CONNECTED) if answer.error is PeerFault.NOT_SENT else None
        return decode_answer(answer.ok)


_INCONCLUSIVE_FAULTS = frozenset({LogFault.REFUSED, LogFault.UNKNOWN})


def _outcome(
    direct: Result[Value, LogFailure], relayed: Result[Value, LogFailure]
) -> Result[Value, LogFailure]:
    """Return the more conclusive outcome of a call that was sent by both paths.

    That is a success, else a failure reported by the log itself, such as dropped records, else
    `UNKNOWN`. A relay that did not answer may have forwarded the call, so a refusal of the direct
    path doesn't prove that nothing was appended; the caller would reuse the sequence number for
    another append.
    """
    return min(direct, relayed, key=_outcome_rank)


def _outcome_rank(answer: Result[Value, LogFailure]) -> int:
    if answer.is_ok():
        return 0
    if answer.error.fault not in _INCONCLUSIVE_FAULTS:
        return 1
    return 2 if answer.error.fault is LogFault.UNKNOWN else 3


def _error_of(answer: Result[Value, LogFailure]) -> LogFailure | None:
    return answer.error if answer.is_error() else None


def _failure_of(answer: LogAnswer | None) -> LogFailure | None:
    return None if answer is None else answer.failure
