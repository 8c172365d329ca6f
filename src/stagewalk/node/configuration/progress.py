"""How far each member has folded the configuration, learnt from gossip, for status only.

An announcement carries one bit per member: whether it is known to have reached the sender's
offset. The bits stand in the order of the members' names, so they are understood by those who
see the same members; the others learn from each sender's own offset alone until views agree.
"""

from __future__ import annotations

import xxhash

from stagewalk.common.identities import NodeName
from stagewalk.node.wire.configuration_pb2 import ConfigurationMessage


class ProgressTable:
    """The largest offset known of each member.

    A restarted member begins at offset 0 again, which it reports to its peers; elsewhere it
    may be shown at its old offset for the seconds until it has caught up.
    """

    def __init__(self, own_name: NodeName) -> None:
        self._own_name = own_name
        self._names: tuple[NodeName, ...] = ()
        self._positions: dict[NodeName, int] = {}
        self._fingerprint = 0
        self._offsets: dict[NodeName, int] = {}
        self._mark = 0
        self._reached_mark = 0
        self.set_members(())

    def set_members(self, names: tuple[NodeName, ...]) -> None:
        """Set the names of the other members; drop those that left."""
        self._names = tuple(sorted({*names, self._own_name}))
        self._positions = {name: position for position, name in enumerate(self._names)}
        self._fingerprint = xxhash.xxh32_intdigest("\n".join(self._names).encode())
        kept = self._offsets.items()
        self._offsets = {name: offset for name, offset in kept if name in self._positions}
        self._set_mark(self._mark)

    def offsets(self) -> dict[NodeName, int]:
        """Return the offset of each member of which one is known, sorted by name."""
        return {name: self._offsets[name] for name in self._names if name in self._offsets}

    def learn(self, name: NodeName, offset: int, *, restarted: bool = False) -> None:
        """Record the offset that a member itself reports.

        It only grows, and a smaller one is an old message, unless the member has restarted and
        is still catching up.
        """
        position = self._positions.get(name)
        if position is None:
            return
        known = self._offsets.get(name, -1)
        if offset == known or (offset < known and not restarted):
            return
        self._offsets[name] = offset
        if offset >= self._mark:
            self._reached_mark |= 1 << position
        else:
            self._reached_mark &= ~(1 << position)

    def read(self, message: ConfigurationMessage) -> None:
        """Record which members are known to have reached the sender's offset."""
        if message.members_fingerprint != self._fingerprint:
            return
        if message.offset > self._mark:
            self._set_mark(message.offset)
        bits = int.from_bytes(message.members_reached, "little")
        news = bits & ~self._reached_mark & ((1 << len(self._names)) - 1)
        while news:
            position = (news & -news).bit_length() - 1
            news &= news - 1
            name = self._names[position]
            self.learn(name, message.offset)

    def write(self, message: ConfigurationMessage) -> None:
        """Write which members are known to have reached the offset of a message."""
        offset = message.offset
        bits = self._reached_mark if offset == self._mark else self._reached(offset)
        message.members_fingerprint = self._fingerprint
        message.members_reached = bits.to_bytes((len(self._names) + 7) // 8, "little")

    def _set_mark(self, offset: int) -> None:
        """Recompute which members have reached the newest offset known."""
        self._mark = offset
        self._reached_mark = self._reached(offset)

    def _reached(self, offset: int) -> int:
        bits = 0
        for name, known in self._offsets.items():
            if known >= offset:
                bits |= 1 << self._positions[name]
        return bits
