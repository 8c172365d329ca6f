"""Configuration offset of each member, collected from gossip; used for status only.

An announcement carries one bit per member: whether it is known to have reached the sender's
offset. The bits are in the order of the members' names, so only a receiver that sees the same
members can read them. Others use only the sender's own offset until their views agree.
"""

from __future__ import annotations

import xxhash

from stagewalk.common.identities import NodeName
from stagewalk.node.wire.configuration_pb2 import ConfigurationMessage


class ProgressTable:
    """The largest known offset of each member.

    A restarted member starts at offset 0 again and reports this to its peers. Other nodes may show
    its old offset for the seconds until it has caught up.
    """

    def __init__(self, own_name: NodeName) -> None:
        self._own_name = own_name
        self._names: tuple[NodeName, ...] = ()
        self._positions: dict[NodeName, int] = {}
        self._fingerprint = 0
        self._offsets: dict[NodeName, int] = {}
        self._newest_offset = 0
        self._reached_newest = 0
        self.set_members(())

    def set_members(self, names: tuple[NodeName, ...]) -> None:
        """Set the names of the other members; drop the offsets of nodes that are not among them."""
        self._names = tuple(sorted({*names, self._own_name}))
        self._positions = {name: position for position, name in enumerate(self._names)}
        self._fingerprint = xxhash.xxh32_intdigest("\n".join(self._names).encode())
        kept = self._offsets.items()
        self._offsets = {name: offset for name, offset in kept if name in self._positions}
        self._set_newest_offset(self._newest_offset)

    def offsets(self) -> dict[NodeName, int]:
        """Return the known offsets by member, sorted by name."""
        return {name: self._offsets[name] for name in self._names if name in self._offsets}

    def record_offset(self, name: NodeName, offset: int, *, restarted: bool = False) -> None:
        """Record the offset that a member itself reports.

        A smaller offset than the known one comes from an old message and is ignored, unless the
        member has restarted and is still catching up.
        """
        position = self._positions.get(name)
        if position is None:
            return
        known = self._offsets.get(name, -1)
        if offset == known or (offset < known and not restarted):
            return
        self._offsets[name] = offset
        if offset >= self._newest_offset:
            self._reached_newest |= 1 << position
        else:
            self._reached_newest &= ~(1 << position)

    def read(self, message: ConfigurationMessage) -> None:
        """Record which members are known to have reached the sender's offset."""
        if message.members_fingerprint != self._fingerprint:
            return
        if message.offset > self._newest_offset:
            self._set_newest_offset(message.offset)
        bits = int.from_bytes(message.members_reached, "little")
        new_bits = bits & ~self._reached_newest & ((1 << len(self._names)) - 1)
        while new_bits:
            position = (new_bits & -new_bits).bit_length() - 1
            new_bits &= new_bits - 1
            name = self._names[position]
            self.record_offset(name, message.offset)

    def write(self, message: ConfigurationMessage) -> None:
        """Write which members are known to have reached the offset of a message."""
        offset = message.offset
        bits = self._reached_newest if offset == self._newest_offset else self._reached(offset)
        message.members_fingerprint = self._fingerprint
        message.members_reached = bits.to_bytes((len(self._names) + 7) // 8, "little")

    def _set_newest_offset(self, offset: int) -> None:
        """Set the newest known offset, and recompute which members have reached it."""
        self._newest_offset = offset
        self._reached_newest = self._reached(offset)

    def _reached(self, offset: int) -> int:
        bits = 0
        for name, known in self._offsets.items():
            if known >= offset:
                bits |= 1 << self._positions[name]
        return bits
