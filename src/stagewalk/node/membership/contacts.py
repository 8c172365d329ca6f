"""Addresses of nodes that may be running but are not members: listed machines and dead members."""

from __future__ import annotations

import random
from collections.abc import Iterable

from stagewalk.common.identities import Address, NodeName
from stagewalk.node.core.platform import Machine, MachineKind, MachineState
from stagewalk.node.membership.member_table import MemberTable
from stagewalk.node.membership.members import MemberState


class ContactList:
    """Addresses that are contacted from time to time.

    The machine list may be out of date, so it only supplies addresses: it never adds a member, and
    a machine that is missing from it or listed as leaving does not remove one.
    """

    def __init__(self, own_name: NodeName, table: MemberTable, generator: random.Random) -> None:
        self._own_name = own_name
        self._table = table
        self._generator = generator
        self._listed: dict[NodeName, Address] = {}

    def set_machines(self, machines: Iterable[Machine]) -> None:
        """Set the addresses of the platform's machine list."""
        self._listed = {
            NodeName(machine.name): machine.address
            for machine in machines
            if machine.kind is MachineKind.NODE and machine.state is MachineState.LIVE
        }
        self._listed.pop(self._own_name, None)

    def choose(self, count: int) -> list[Address]:
        """Return up to `count` random addresses of listed machines and dead members."""
        addresses = {str(address): address for address in self._candidates()}
        keys = sorted(addresses)
        chosen = self._generator.sample(keys, min(count, len(keys)))
        return [addresses[key] for key in chosen]

    def _candidates(self) -> list[Address]:
        listed = [
            address for name, address in self._listed.items() if self._table.get(name) is None
        ]
        dead = [
            fact.address
            for fact in self._table.ended()
            if fact.state is MemberState.DEAD and fact.address is not None
        ]
        moved = [
            self._listed[fact.name]
            for fact in self._table.ended()
            if fact.state is MemberState.DEAD and fact.name in self._listed
        ]
        return listed + dead + moved
