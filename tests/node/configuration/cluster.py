"""Simulated cluster of followers on virtual time, with a log, isolated nodes, loss and restarts."""

from __future__ import annotations

import random

from stagewalk.common.identities import Address, Incarnation, NodeName, Placement
from stagewalk.node.configuration.follower import (
    ConfigurationFollower,
    ConfigurationFollowerConfig,
    ConfigurationOutput,
)
from stagewalk.node.configuration.notifications import ConfigurationChanged
from stagewalk.node.configuration.records import AnyChange, encode_change
from stagewalk.node.core.instructions import SendPeerMessage, Transport, WriteLogLine
from stagewalk.node.core.platform import LogRecord
from stagewalk.node.node_core import NodeIdentity
from tests.node.configuration.records import log_record

TICK_SECONDS = 0.1


class Cluster:
    """Followers that exchange messages without delay; datagrams are lost at rate `loss`."""

    def __init__(
        self, size: int, config: ConfigurationFollowerConfig | None = None, loss: float = 0.0
    ) -> None:
        self.config = config or ConfigurationFollowerConfig()
        self.random = random.Random(7)
        self.loss = loss
        self.now = 0.0
        self.addresses = {
            NodeName(f"node-{n:03d}"): Address(f"10.0.{n // 250}.{n % 250}", 7000)
            for n in range(size)
        }
        self.names = {address: name for name, address in self.addresses.items()}
        self.followers = {name: self._start(name) for name in self.addresses}
        self.log: list[LogRecord] = []
        self.without_log = set(self.followers)
        self.isolated: set[NodeName] = set()
        self.in_force: dict[int, list[float]] = {}
        self.appended_at: list[float] = []
        self.changes: dict[NodeName, list[ConfigurationChanged]] = {n: [] for n in self.followers}
        self.events: list[WriteLogLine] = []
        self.bytes_sent = 0
        self.largest_datagram = 0

    def _start(self, name: NodeName) -> ConfigurationFollower:
        identity = NodeIdentity(name, Incarnation(1), self.addresses[name], Placement("r", "z"))
        follower = ConfigurationFollower(identity, self.config, random.Random(name))
        follower.set_members(tuple(self.addresses.items()))
        return follower

    def restart(self, name: NodeName) -> None:
        self.followers[name] = self._start(name)
        self.changes[name] = []

    def execute(self, name: NodeName, output: list[ConfigurationOutput]) -> None:
        for item in output:
            if isinstance(item, ConfigurationChanged):
                self._record_change(name, item)
            elif isinstance(item, WriteLogLine):
                self.events.append(item)
            else:
                self._send(name, self.names[item.address], item)

    def _send(self, sender: NodeName, receiver: NodeName, item: SendPeerMessage) -> None:
        if sender in self.isolated or receiver in self.isolated:
            return
        size = item.envelope.ByteSize()
        self.bytes_sent += size
        if item.transport is Transport.DATAGRAM:
            self.largest_datagram = max(self.largest_datagram, size)
            if self.random.random() < self.loss:
                return
        follower = self.followers[receiver]
        message = item.envelope.configuration
        output = follower.handle_message(self.addresses[sender], sender, message, self.now)
        self.execute(receiver, output)

    def _record_change(self, name: NodeName, changed: ConfigurationChanged) -> None:
        seen = self.changes[name]
        reached = seen[-1].offset if seen else 0
        for offset in range(reached, min(changed.offset, len(self.appended_at))):
            self.in_force.setdefault(offset, []).append(self.now - self.appended_at[offset])
        seen.append(changed)

    def append(self, change: AnyChange) -> None:
        self.log.append(log_record(len(self.log), encode_change(change)))
        self.appended_at.append(self.now)

    def read(self, name: NodeName, records: tuple[LogRecord, ...], head: int) -> None:
        self.execute(name, self.followers[name].handle_records(records, self.now, head))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for name, follower in self.followers.items():
                if name not in self.without_log:
                    self._read_log(name, follower)
                self.execute(name, follower.tick(self.now))

    def _read_log(self, name: NodeName, follower: ConfigurationFollower) -> None:
        fresh = tuple(self.log[follower.offset : follower.offset + 5])
        if fresh or not follower.current:
            self.read(name, fresh, len(self.log))
