"""Keeps a node's configuration in force: folds the log's records and relays them to peers.

A node that reaches the log folds what its log client reads. Every node announces its offset to a
few random members; a node that finds itself behind an announcer, because it cannot reach the log
or has just started, asks that peer for the records or a snapshot. So one node that reaches the log
is enough for all. Owns the fold and the relay's cache; relies on the log client and on membership.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from stagewalk.common.identities import Address, NodeName, ProcessIdentity
from stagewalk.node.configuration.notifications import ConfigurationChanged
from stagewalk.node.configuration.outcomes import ChangeRejected
from stagewalk.node.configuration.progress import ProgressTable
from stagewalk.node.configuration.relay import RelayCache, relayed_records
from stagewalk.node.configuration.state import snapshot_offset
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine
from stagewalk.node.core.instructions import LogLineFields, SendPeerMessage, Transport, WriteLogLine
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.wire.configuration_pb2 import ConfigurationMessage
from stagewalk.node.wire.envelope_pb2 import Envelope

ConfigurationOutput = SendPeerMessage | WriteLogLine | ConfigurationChanged

ANNOUNCED_DIGEST_HEX_DIGITS = 16
"""Leading digits of the digest that announcements carry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationFollowerConfig:
    """Timing and sizes of the relay; durations in seconds. What they cost at
    420 nodes is in docs/design/0030-configuration.md.

    Attributes
    ----------
    announce_interval, announce_fanout
        Each interval a node announces its offset to that many random members.
    news_fanout
        Members notified at once when the offset has grown, at most once per `news_interval`.
    request_delay
        How long a node that lacks announced records waits for its own log client first.
    request_timeout
        After which an unanswered request is sent to another peer.
    start_wait
        How long a starting node without access to the log collects announcements before it
        treats the newest announced state as current.
    snapshot_records
        A snapshot is due after that many records since the last one.
    relay_records, relay_bytes
        Latest records kept for peers; a peer further behind gets a snapshot.
    reply_bytes
        Payload bytes of one answer to a peer.
    """

    announce_interval: float = 1.0
    announce_fanout: int = 2
    news_fanout: int = 4
    news_interval: float = 0.3
    request_delay: float = 0.3
    request_timeout: float = 1.0
    start_wait: float = 3.0
    snapshot_records: int = 128
    relay_records: int = 256
    relay_bytes: int = 512 * 1024
    reply_bytes: int = 256 * 1024


@dataclass(frozen=True, slots=True)
class _PeerAhead:
    """A peer that has announced records this node lacks."""

    address: Address
    offset: int


class ConfigurationFollower:
    """The configuration in force at one node; it only moves forward.

    Until the node has once reached the log's head, or the state of a peer that had, it notifies
    nothing: a restarted node must not put years-old configuration in force while it catches up.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        config: ConfigurationFollowerConfig,
        generator: random.Random,
    ) -> None:
        self._identity = identity
        self._config = config
        self._generator = generator
        self._fold = ConfigurationStateMachine()
        self._members: tuple[tuple[NodeName, Address], ...] = ()
        self._peers: tuple[tuple[NodeName, Address], ...] = ()
        self._addresses: dict[NodeName, Address] = {}
        self._progress = ProgressTable(identity.name)
        self._relay = RelayCache(config.relay_records, config.relay_bytes)
        self._current = False
        self._notified_offset: int | None = None
        self._log_head: int | None = None
        self._next_announcement = 0.0
        self._next_news = 0.0
        self._news_pending = False
        self._ahead: dict[NodeName, _PeerAhead] = {}
        self._behind_since: float | None = None
        self._requested_until = 0.0
        self._started_at: float | None = None
        self._met_current_peer = False
        self._mismatch_offset: int | None = None
        self._snapshot_offset = 0
        self._snapshot_for_peers: tuple[int, bytes] | None = None
        self._members_changed = False

    @property
    def fold(self) -> ConfigurationStateMachine:
        """Return the fold, to be read only."""
        return self._fold

    @property
    def offset(self) -> int:
        """Return the offset after the last record folded."""
        return self._fold.offset

    @property
    def current(self) -> bool:
        """Return whether the node has caught up once since its start."""
        return self._current

    def member_offsets(self) -> dict[NodeName, int]:
        """Return the offset in force at each member, as far as gossip has reported it, own
        included."""
        self._use_members()
        self._progress.learn(self._identity.name, self._fold.offset)
        return self._progress.offsets()

    def set_members(self, members: tuple[tuple[NodeName, Address], ...]) -> None:
        """Set the members that are alive, with their peer addresses.

        Many changes may come in a row, so they are applied when the members are next needed.
        """
        self._members = members
        self._members_changed = True

    def handle_records(
        self, records: tuple[LogRecord, ...], now: float, head: int | None = None
    ) -> list[ConfigurationOutput]:
        """Fold records of the log, in order.

        Parameters
        ----------
        head
            Offset after the stream's last record, when the records were read from the log itself.
        """
        output = self._fold_records(records, now)
        if head is not None:
            self._log_head = max(head, self._log_head or 0)
            if self._fold.offset >= self._log_head:
                self._current = True
        return output + self._notify()

    def handle_snapshots(
        self, records: tuple[LogRecord, ...], now: float
    ) -> list[ConfigurationOutput]:
        """Apply the newest of the snapshots read from the stream of snapshots."""
        for record in reversed(records):
            offset = snapshot_offset(record.payload)
            if offset is None:
                continue
            self._snapshot_offset = max(self._snapshot_offset, offset)
            self._restore(record.payload, now)
            break
        return self._notify()

    def take_snapshot(self) -> bytes | None:
        """Return a snapshot to append to the stream of snapshots, if one is due.

        For the one node that holds the duty; two holders at once do no harm, since snapshots of
        the same offset are the same.
        """
        due = self._fold.offset - self._snapshot_offset >= self._config.snapshot_records
        if not due or not self._current:
            return None
        self._snapshot_offset = self._fold.offset
        return self._fold.snapshot()

    def handle_message(
        self, source: Address, sender: NodeName, message: ConfigurationMessage, now: float
    ) -> list[ConfigurationOutput]:
        """Handle another node's message that came from an address."""
        output: list[ConfigurationOutput] = []
        self._use_members()
        self._progress.learn(sender, message.offset, restarted=not message.current)
        self._progress.read(message)
        if message.snapshot:
            self._restore(message.snapshot, now)
        if message.records:
            output += self._fold_records(relayed_records(message), now)
        address = self._address_of(sender, source)
        if message.records_wanted:
            output += self._answer(address, message.offset)
        else:
            output += self._compare(address, sender, message, now)
        return output + self._notify()

    def tick(self, now: float) -> list[ConfigurationOutput]:
        """Announce, request missing records, and end the wait at the start."""
        output: list[ConfigurationOutput] = []
        if self._news_pending and now >= self._next_news:
            output += self._announce(self._config.news_fanout, now)
        if now >= self._next_announcement:
            output += self._announce(self._config.announce_fanout, now)
            jitter = self._generator.uniform(0.9, 1.1)
            self._next_announcement = now + self._config.announce_interval * jitter
        if self._ahead:
            output += self._request(now)
        if not self._current:
            self._trust_peers(now)
            output += self._notify()
        return output

    def _fold_records(
        self, records: tuple[LogRecord, ...], now: float
    ) -> list[ConfigurationOutput]:
        output: list[ConfigurationOutput] = []
        before = self._fold.offset
        for record in records:
            if record.offset < self._fold.offset:
                continue
            if record.offset > self._fold.offset:
                break
            outcome = self._fold.apply(record)
            self._relay.add(record)
            if isinstance(outcome, ChangeRejected):
                output.append(_rejection_event(record, outcome))
        if self._fold.offset > before:
            self._moved_forward(now)
        return output

    def _restore(self, payload: bytes, now: float) -> bool:
        if not self._fold.restore(payload):
            return False
        self._relay.clear()
        self._moved_forward(now)
        return True

    def _moved_forward(self, now: float) -> None:
        """Announce the new offset soon, and drop the peers that are no longer ahead."""
        self._snapshot_for_peers = None
        self._news_pending = True
        self._requested_until = now
        ahead = {n: peer for n, peer in self._ahead.items() if peer.offset > self._fold.offset}
        self._ahead = ahead
        if not ahead:
            self._behind_since = None

    def _use_members(self) -> None:
        if not self._members_changed:
            return
        self._members_changed = False
        own_name = self._identity.name
        self._peers = tuple(sorted(member for member in self._members if member[0] != own_name))
        self._addresses = dict(self._peers)
        self._progress.set_members(tuple(self._addresses))
        self._ahead = {n: peer for n, peer in self._ahead.items() if n in self._addresses}

    def _compare(
        self, address: Address, sender: NodeName, message: ConfigurationMessage, now: float
    ) -> list[ConfigurationOutput]:
        """Compare a peer's announced state with this node's own."""
        if message.offset <= self._fold.offset:
            self._ahead.pop(sender, None)
        if message.offset < self._fold.offset:
            return [self._send(address, self._announcement(), Transport.DATAGRAM)]
        if message.offset > self._fold.offset:
            self._ahead[sender] = _PeerAhead(address, message.offset)
            self._behind_since = now if self._behind_since is None else self._behind_since
            return []
        self._met_current_peer = self._met_current_peer or message.current
        if message.digest == self._short_digest() or self._mismatch_offset == message.offset:
            return []
        self._mismatch_offset = message.offset
        fields: LogLineFields = {"level": "error", "peer": sender, "offset": message.offset}
        return [WriteLogLine("configuration_digest_mismatch", fields)]

    def _trust_peers(self, now: float) -> None:
        """Treat the newest announced state as current if the log has stayed unreachable."""
        if self._started_at is None:
            self._started_at = now
        waited = now - self._started_at >= self._config.start_wait
        if waited and self._met_current_peer and not self._ahead:
            self._current = True

    def _address_of(self, sender: NodeName, source: Address) -> Address:
        """Return a member's listening address; a stream's source port is not one."""
        return self._addresses.get(sender, source)

    def _notify(self) -> list[ConfigurationOutput]:
        if not self._current or self._notified_offset == self._fold.offset:
            return []
        self._notified_offset = self._fold.offset
        return [ConfigurationChanged(tuple(self._fold.tenants.values()), self._fold.offset)]

    def _request(self, now: float) -> list[ConfigurationOutput]:
        """Request what is missing from one of the peers ahead, unless a request is under way."""
        if self._behind_since is None or now < self._behind_since + self._config.request_delay:
            return []
        if now < self._requested_until:
            return []
        self._use_members()
        if not self._ahead:
            self._behind_since = None
            return []
        peer = self._ahead[self._generator.choice(sorted(self._ahead))]
        self._requested_until = now + self._config.request_timeout
        message = self._state_message()
        message.records_wanted = True
        return [self._send(peer.address, message, Transport.STREAM)]

    def _answer(self, address: Address, offset: int) -> list[ConfigurationOutput]:
        """Send a peer the records it lacks, or a snapshot if they are no longer kept."""
        if offset >= self._fold.offset:
            return []
        message = self._state_message()
        if not self._relay.write(message, offset, self._config.reply_bytes):
            message.snapshot = self._peer_snapshot()
        return [self._send(address, message, Transport.STREAM)]

    def _peer_snapshot(self) -> bytes:
        """Return a snapshot, the same one for all peers that ask at this offset."""
        known = self._snapshot_for_peers
        if known is not None and known[0] == self._fold.offset:
            return known[1]
        payload = self._fold.snapshot()
        self._snapshot_for_peers = (self._fold.offset, payload)
        return payload

    def _announce(self, fanout: int, now: float) -> list[ConfigurationOutput]:
        self._news_pending = False
        self._next_news = now + self._config.news_interval
        self._use_members()
        chosen = self._generator.sample(self._peers, min(fanout, len(self._peers)))
        return [
            self._send(address, self._announcement(), Transport.DATAGRAM) for _, address in chosen
        ]

    def _announcement(self) -> ConfigurationMessage:
        message = self._state_message()
        self._progress.learn(self._identity.name, self._fold.offset)
        self._progress.write(message)
        return message

    def _state_message(self) -> ConfigurationMessage:
        return ConfigurationMessage(
            offset=self._fold.offset, digest=self._short_digest(), current=self._current
        )

    def _short_digest(self) -> int:
        return int(self._fold.digest()[:ANNOUNCED_DIGEST_HEX_DIGITS], 16)

    def _send(
        self, address: Address, message: ConfigurationMessage, transport: Transport
    ) -> SendPeerMessage:
        envelope = Envelope(
            sender=self._identity.name,
            sender_incarnation=self._identity.incarnation,
            configuration=message,
        )
        return SendPeerMessage(address, envelope, transport)


def _rejection_event(record: LogRecord, outcome: ChangeRejected) -> WriteLogLine:
    return WriteLogLine(
        "configuration_rejected",
        {
            "offset": record.offset,
            "record_id": record.record_id,
            "reason": outcome.reason.value,
            "field": outcome.field or "",
            "detail": outcome.detail,
        },
    )
