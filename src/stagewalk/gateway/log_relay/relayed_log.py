"""The log for a node that may be cut off from it: called directly, or through another node.

Owns the race of the two paths and which outcome counts. Relies on `path_choice` for the path, on
the peers' client for relayed calls.
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
"""How long another node's answer may take beyond the time a read offers to wait."""

HEDGE_DELAY_SECONDS = 0.4
"""A call that the log has not answered so long after it should have is relayed as well: a hundred
times what the log takes, and well below the time-out of a call (1.2 s), after which a node would
learn of a configuration too late."""

PEERS_ASKED = 3
"""Nodes asked in turn while each replies that it is cut off too."""

_NO_ANSWER = LogFailure(LogFault.UNKNOWN, "no answer yet")
_NOT_TAKEN = LogFailure(LogFault.REFUSED, "the asked node takes no connection")


@dataclass(frozen=True, slots=True)
class RelayPeers:
    """Where other nodes serve relayed calls: in this node's region, and in others."""

    same_region: Sequence[Address] = ()
    other_regions: Sequence[Address] = ()


@dataclass(frozen=True, slots=True)
class _Asked:
    """A node that was asked, and its answer; None if none came."""

    peer: Address
    answer: LogAnswer | None


Peers = Callable[[], RelayPeers]
"""Returns the nodes that serve relayed calls now."""


class RelayedLog:
    """Calls the log directly, or through another node, and remembers which path works.

    Only calls that may be carried out twice are sent by both paths: appends carry their sequence,
    keyed ones set the same value. An `append_at` without an answer is left to its caller, who
    reads. While the relay works, the direct path is probed beside it.
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
        return await self._either(
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
        return await self._either(
            lambda: self._direct.append_keyed(partition, key, value),
            AppendKeyedCall(partition, key, value),
            lambda answer: answer.offset,
        )

    async def read(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[RecordPage, LogFailure]:
        """Read from an offset on."""
        return await self._either(
            lambda: self._direct.read(partition, offset, wait_seconds),
            ReadCall(partition, offset, wait_seconds),
            lambda answer: answer.page,
            wait_seconds,
        )

    async def read_keyed(
        self, partition: Partition, offset: int, wait_seconds: float
    ) -> Result[KeyedPage, LogFailure]:
        """Read changes of a compacted topic."""
        return await self._either(
            lambda: self._direct.read_keyed(partition, offset, wait_seconds),
            ReadKeyedCall(partition, offset, wait_seconds),
            lambda answer: answer.keyed,
            wait_seconds,
        )

    async def newest(self, partition: Partition) -> Result[KeyedPage, LogFailure]:
        """Read the newest record of each key."""
        return await self._either(
            lambda: self._direct.newest(partition),
            NewestCall(partition),
            lambda answer: answer.keyed,
        )

    async def _either(
        self,
        direct: Callable[[], Awaitable[Result[Value, LogFailure]]],
        call: LogCall,
        pick: Callable[[LogAnswer], Value | None],
        wait_seconds: float = 0.0,
    ) -> Result[Value, LogFailure]:
        relaying = self._choice.relaying
        if not self._choice.direct_first(steady_seconds()):
            relayed = await self._relay(call, pick, wait_seconds)
            if relayed.is_ok():
                return relayed
            answer = await direct()
            self._choice.record_direct(_error_of(answer), steady_seconds())
            return _outcome(answer, relayed)
        relay_after = 0.0 if relaying else wait_seconds + HEDGE_DELAY_SECONDS
        return await self._race(direct, lambda: self._relay(call, pick, wait_seconds), relay_after)

    async def _race(
        self,
        direct: Callable[[], Awaitable[Result[Value, LogFailure]]],
        relay: Callable[[], Awaitable[Result[Value, LogFailure]]],
        relay_after: float,
    ) -> Result[Value, LogFailure]:
        """Call directly, and through another node once that failed or was silent for a time.

        The first success counts; without any, see `_outcome`.
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
        self, call: LogCall, pick: Callable[[LogAnswer], Value | None], wait_seconds: float
    ) -> Result[Value, LogFailure]:
        """Send a call through another node, always the same one while it answers."""
        before = self._choice.relaying
        asked = await self._ask_peers(call, wait_seconds + RESPONSE_TIMEOUT_SECONDS)
        if asked is None:
            return Error(LogFailure(LogFault.REFUSED, "no other node is known"))
        peer, answer = asked.peer, asked.answer
        failure = _failure_of(answer)
        worked = answer is not None and (failure is None or failure.fault not in _UNSETTLED)
        self._choice.record_relay(worked, steady_seconds())
        self._peer = peer if worked else None
        if worked and not before:
            log_event("log_relayed", through=str(peer))
        if answer is None or failure is not None:
            return Error(failure or LogFailure(LogFault.UNKNOWN, f"no answer through {peer}"))
        value = pick(answer)
        if value is None:
            return Error(LogFailure(LogFault.UNKNOWN, f"a wrong answer through {peer}"))
        return Ok(value)

    async def _ask_peers(self, call: LogCall, seconds: float) -> _Asked | None:
        """Return the last asked node's answer: the next one is asked while nodes are cut off too.

        None: no node is known.
        """
        asked: _Asked | None = None
        for peer in self._candidates():
            asked = _Asked(peer, await self._send(peer, call, seconds))
            if _failure_of(asked.answer) != RELAY_CUT_OFF:
                break
        return asked

    def _candidates(self) -> list[Address]:
        """Return the nodes to ask in order: the last one first, then near ones.

        One of another region is among them: a whole region may be cut off from the log.
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
        """Whether the direct path to the log did not work when it was last tried."""
        return self._choice.direct_fails

    async def _send(self, peer: Address, call: LogCall, seconds: float) -> LogAnswer | None:
        message = encode_message(call)
        answer = await self._client.exchange(peer, RELAY_PATH, message, seconds)
        if answer.is_error():
            return LogAnswer(failure=_NOT_TAKEN) if answer.error is PeerFault.NOT_SENT else None
        return decode_answer(answer.ok)


_UNSETTLED = frozenset({LogFault.REFUSED, LogFault.UNKNOWN})


def _outcome(
    direct: Result[Value, LogFailure], relayed: Result[Value, LogFailure]
) -> Result[Value, LogFailure]:
    """Return the outcome of a call that was sent by both paths: the one that proves most.

    A success, else the log's own failure by either path, such as that records are gone. Another
    node that did not answer may have passed the call on: a refusal of the direct path proves
    nothing then, and a caller that relied on it would report that what is in the log is not, and
    use its sequence for something else.
    """
    return min(direct, relayed, key=_certainty)


def _certainty(answer: Result[Value, LogFailure]) -> int:
    if answer.is_ok():
        return 0
    if answer.error.fault not in _UNSETTLED:
        return 1
    return 2 if answer.error.fault is LogFault.UNKNOWN else 3


def _error_of(answer: Result[Value, LogFailure]) -> LogFailure | None:
    return answer.error if answer.is_error() else None


def _failure_of(answer: LogAnswer | None) -> LogFailure | None:
    return None if answer is None else answer.failure
