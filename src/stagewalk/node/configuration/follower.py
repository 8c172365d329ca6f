"""Keeps a node's configuration up to date: applies records of the log and relays them to peers.

A node that can reach the log applies what its log client reads. Every node announces its offset to
a few random members. A node that is behind an announced offset, because it cannot reach the log or
has just started, requests the missing records or a snapshot from that peer. So one node that can
reach the log is enough for all.
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
"""Number of leading digits of the digest in announcements."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationFollowerConfig:
    """Timing and sizes of the relay; durations in seconds.

    docs/design/0030-configuration.md has the traffic they cause at 420 nodes.

    Attributes
    ----------
    announce_interval, announce_fanout
        In each interval a node announces its offset to `announce_fanout` random members.
    news_fanout, news_interval
        Members notified at once when the offset has grown, and the minimum time between such
        announcements.
    request_delay
        How long a node that lacks announced records waits for its own log client before it
        requests them from a peer.
    request_timeout
        Time after which an unanswered request is repeated, possibly to another peer.
    start_wait
        How long a starting node without access to the log collects announcements before it
        treats the newest announced state as current.
    snapshot_records
        Number of records after which the next snapshot is due.
    relay_records, relay_bytes
        Bounds of the latest records kept for peers; a peer further behind gets a snapshot.
    reply_bytes
        Maximum payload bytes of the records in one answer to a peer.
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
    """The configuration in force at one node; its offset never decreases.

    It notifies nothing until the node has reached the log's head, or the state of a peer that had
    reached it, so that a restarted node does not apply outdated configuration while it catches up.
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
        self._next_announcement_at = 0.0
        self._next_early_announcement_at = 0.0
        self._announcement_pending = False
        self._peers_ahead: dict[NodeName, _PeerAhead] = {}
        self._behind_since: float | None = None
        self._request_expires_at = 0.0
        self._started_at: float | None = None
        self._seen_current_peer = False
        self._mismatch_offset: int | None = None
        self._snapshot_offset = 0
        self._snapshot_for_peers: tuple[int, bytes] | None = None
        self._members_changed = False

    @property
    def fold(self) -> ConfigurationStateMachine:
        """Return the state machine; callers must not change it."""
        return self._fold

    @property
    def offset(self) -> int:
        """Return the offset after the last record applied."""
        return self._fold.offset

    @property
    def current(self) -> bool:
        """Return whether the node has caught up at least once since its start."""
        return self._current

    def member_offsets(self) -> dict[NodeName, int]:
        """Return the latest reported offset of each member, including this node."""
        self._apply_members()
        self._progress.record_offset(self._identity.name, self._fold.offset)
        return self._progress.offsets()

    def set_members(self, members: tuple[tuple[NodeName, Address], ...]) -> None:
        """Set the members that are alive, with their peer addresses.

        They are applied when next needed, since many changes may come in a row.
        """
        self._members = members
        self._members_changed = True

    def handle_records(
        self, records: tuple[LogRecord, ...], now: float, head: int | None = None
    ) -> list[ConfigurationOutput]:
        """Apply records of the log, in order.

        Parameters
        ----------
        head
            Offset after the stream's last record, if the records were read from the log itself.
        """
        output = self._apply_records(records, now)
        if head is not None:
            self._log_head = max(head, self._log_head or 0)
            if self._fold.offset >= self._log_head:
                self._current = True
        return output + self._notify()

    def handle_snapshots(
        self, records: tuple[LogRecord, ...], now: float
    ) -> list[ConfigurationOutput]:
        """Apply the newest valid one of the snapshots read from the snapshot stream."""
        for record in reversed(records):
            offset = snapshot_offset(record.payload)
            if offset is None:
                continue
            self._snapshot_offset = max(self._snapshot_offset, offset)
            self._restore(record.payload, now)
            break
        return self._notify()

    def take_snapshot(self) -> bytes | None:
        """Return a snapshot to append to the snapshot stream, if one is due.

        Called at the node that holds the lease of this duty. Two holders at once are harmless,
        since snapshots of the same offset are identical.
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
        self._apply_members()
        self._progress.record_offset(sender, message.offset, restarted=not message.current)
        self._progress.read(message)
        if message.snapshot:
            self._restore(message.snapshot, now)
        if message.records:
            output += self._apply_records(relayed_records(message), now)
        address = self._address_of(sender, source)
        if message.records_wanted:
            output += self._answer_request(address, message.offset)
        else:
            output += self._compare_state(address, sender, message, now)
        return output + self._notify()

    def tick(self, now: float) -> list[ConfigurationOutput]:
        """Send announcements, request missing records, and end the wait after a start."""
        output: list[ConfigurationOutput] = []
        if self._announcement_pending and now >= self._next_early_announcement_at:
            output += self._announce(self._config.news_fanout, now)
        if now >= self._next_announcement_at:
            output += self._announce(self._config.announce_fanout, now)
            jitter = self._generator.uniform(0.9, 1.1)
            self._next_announcement_at = now + self._config.announce_interval * jitter
        if self._peers_ahead:
            output += self._request(now)
        if not self._current:
            self._accept_peer_state(now)
            output += self._notify()
        return output

    def _apply_records(
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
            self._handle_progress(now)
        return output

    def _restore(self, payload: bytes, now: float) -> bool:
        if not self._fold.restore(payload):
            return False
        self._relay.clear()
        self._handle_progress(now)
        return True

    def _handle_progress(self, now: float) -> None:
        """Schedule an announcement of the new offset, and drop peers that are no longer ahead."""
        self._snapshot_for_peers = None
        self._announcement_pending = True
        self._request_expires_at = now
        ahead = {
            n: peer for n, peer in self._peers_ahead.items() if peer.offset > self._fold.offset
        }
        self._peers_ahead = ahead
        if not ahead:
            self._behind_since = None

    def _apply_members(self) -> None:
        if not self._members_changed:
            return
        self._members_changed = False
        own_name = self._identity.name
        self._peers = tuple(sorted(member for member in self._members if member[0] != own_name))
        self._addresses = dict(self._peers)
        self._progress.set_members(tuple(self._addresses))
        self._peers_ahead = {
            n: peer for n, peer in self._peers_ahead.items() if n in self._addresses
        }

    def _compare_state(
        self, address: Address, sender: NodeName, message: ConfigurationMessage, now: float
    ) -> list[ConfigurationOutput]:
        """Compare a peer's announced offset and digest with this node's own."""
        if message.offset <= self._fold.offset:
            self._peers_ahead.pop(sender, None)
        if message.offset < self._fold.offset:
            return [self._send(address, self._announcement(), Transport.DATAGRAM)]
        if message.offset > self._fold.offset:
            self._peers_ahead[sender] = _PeerAhead(address, message.offset)
            self._behind_since = now if self._behind_since is None else self._behind_since
            return []
        self._seen_current_peer = self._seen_current_peer or message.current
        if message.digest == self._short_digest() or self._mismatch_offset == message.offset:
            return []
        self._mismatch_offset = message.offset
        fields: LogLineFields = {"level": "error", "peer": sender, "offset": message.offset}
        return [WriteLogLine("configuration_digest_mismatch", fields)]

    def _accept_peer_state(self, now: float) -> None:
        """Treat the newest announced state as current if `start_wait` passed without the log."""
        if self._started_at is None:
            self._started_at = now
        waited = now - self._started_at >= self._config.start_wait
        if waited and self._seen_current_peer and not self._peers_ahead:
            self._current = True

    def _address_of(self, sender: NodeName, source: Address) -> Address:
        """Return a member's listening address, since the source port of a stream is ephemeral."""
        return self._addresses.get(sender, source)

    def _notify(self) -> list[ConfigurationOutput]:
        if not self._current or self._notified_offset == self._fold.offset:
            return []
        self._notified_offset = self._fold.offset
        return [ConfigurationChanged(tuple(self._fold.tenants.values()), self._fold.offset)]

    def _request(self, now: float) -> list[ConfigurationOutput]:
        """Request missing records from a random peer that is ahead, unless a request is pending."""
        if self._behind_since is None or now < self._behind_since + self._config.request_delay:
            return []
        if now < self._request_expires_at:
            return []
        self._apply_members()
        if not self._peers_ahead:
            self._behind_since = None
            return []
        peer = self._peers_ahead[self._generator.choice(sorted(self._peers_ahead))]
        self._request_expires_at = now + self._config.request_timeout
        message = self._state_message()
        message.records_wanted = True
        return [self._send(peer.address, message, Transport.STREAM)]

    def _answer_request(self, address: Address, offset: int) -> list[ConfigurationOutput]:
        """Send a peer the records that it lacks, or a snapshot if they are no longer kept."""
        if offset >= self._fold.offset:
            return []
        message = self._state_message()
        if not self._relay.write(message, offset, self._config.reply_bytes):
            message.snapshot = self._peer_snapshot()
        return [self._send(address, message, Transport.STREAM)]

    def _peer_snapshot(self) -> bytes:
        """Return a snapshot, cached for all peers that ask at this offset."""
        known = self._snapshot_for_peers
        if known is not None and known[0] == self._fold.offset:
            return known[1]
        payload = self._fold.snapshot()
        self._snapshot_for_peers = (self._fold.offset, payload)
        return payload

    def _announce(self, fanout: int, now: float) -> list[ConfigurationOutput]:
        self._announcement_pending = False
        self._next_early_announcement_at = now + self._config.news_interval
        self._apply_members()
        chosen = self._generator.sample(self._peers, min(fanout, len(self._peers)))
        return [
            self._send(address, self._announcement(), Transport.DATAGRAM) for _, address in chosen
        ]

    def _announcement(self) -> ConfigurationMessage:
        message = self._state_message()
        self._progress.record_offset(self._identity.name, self._fold.offset)
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
