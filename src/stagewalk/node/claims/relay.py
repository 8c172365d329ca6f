"""Replica groups learned from peers, for nodes that can't read the log.

Peers relay a prefix of the log, so of two histories of a partition the one with the larger epoch is
newer, whichever peer sent it. Owns the newest history known of each partition.
"""

from __future__ import annotations

from stagewalk.common.identities import Incarnation, NodeName
from stagewalk.node.claims.placement import (
    GROUP_HISTORY_LENGTH,
    GroupHistory,
    GroupMember,
    GroupPlacement,
    ReplicaGroup,
)
from stagewalk.node.wire.claims_pb2 import ClaimMessage


class PlacementView:
    """The newest groups known, from the log and from peers."""

    def __init__(self) -> None:
        self.placement = GroupPlacement.empty()

    @property
    def is_empty(self) -> bool:
        """Whether no partition has a group."""
        return not any(chain.groups for chain in self.placement.partitions)

    def apply_log(self, placement: GroupPlacement) -> None:
        """Apply the log's groups, except where a peer has sent newer ones."""
        if self.is_empty or len(placement.partitions) != len(self.placement.partitions):
            self.placement = placement
            return
        chains = zip(self.placement.partitions, placement.partitions, strict=True)
        self.placement = GroupPlacement(
            tuple(known if known.epoch > read.epoch else read for known, read in chains)
        )

    def apply_peer(self, message: ClaimMessage) -> bool:
        """Apply the histories in a peer's message; return whether any was newer."""
        if not message.chains:
            return False
        count = message.placement.partition_count
        if count and self.is_empty and count != len(self.placement.partitions):
            self.placement = GroupPlacement.empty(count)
        partitions = list(self.placement.partitions)
        changed = False
        for partition, chain in _read_chains(message):
            if partition < len(partitions) and chain.epoch > partitions[partition].epoch:
                partitions[partition] = _merged(partitions[partition], chain)
                changed = True
        if changed:
            self.placement = GroupPlacement(tuple(partitions))
        return changed

    def write_all(self, message: ClaimMessage) -> None:
        """Write all histories into an answer."""
        message.placement.partition_count = len(self.placement.partitions)
        for partition, chain in enumerate(self.placement.partitions):
            if chain.groups:
                write_chain(message, partition, chain, 0)


def write_chain(
    message: ClaimMessage, partition: int, chain: GroupHistory, first_epoch: int
) -> None:
    """Write a partition's groups from an epoch on into a message."""
    written = message.chains.add(partition=partition)
    for group in chain.groups:
        if group.epoch < first_epoch:
            continue
        item = written.groups.add(
            epoch=group.epoch, forgets=group.forgets, certified=group.certified
        )
        for member in group.members:
            item.members.add(name=member.name, incarnation=member.incarnation)


def _merged(known: GroupHistory, newer: GroupHistory) -> GroupHistory:
    """Return a newer history, preceded by the known groups of earlier epochs."""
    first_epoch = newer.groups[0].epoch
    older = tuple(group for group in known.groups if group.epoch < first_epoch)
    return GroupHistory((*older, *newer.groups)[-GROUP_HISTORY_LENGTH:])


def _read_chains(message: ClaimMessage) -> list[tuple[int, GroupHistory]]:
    return [
        (
            chain.partition,
            GroupHistory(
                tuple(
                    ReplicaGroup(
                        epoch=group.epoch,
                        members=tuple(
                            GroupMember(NodeName(member.name), Incarnation(member.incarnation))
                            for member in group.members
                        ),
                        forgets=group.forgets,
                        certified=group.certified,
                    )
                    for group in chain.groups
                )
            ),
        )
        for chain in message.chains
    ]
