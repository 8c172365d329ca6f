"""Groups learned from peers, for nodes that can't read the log.

A peer relays a prefix of the log, so of two chains of a partition the one with the larger epoch is
the newer, from whichever peer it came. Owns the newest chain known of each partition.
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
        """Apply the log's groups, except for partitions of which a peer knew more."""
        if self.is_empty or len(placement.partitions) != len(self.placement.partitions):
            self.placement = placement
            return
        chains = zip(self.placement.partitions, placement.partitions, strict=True)
        self.placement = GroupPlacement(
            tuple(known if known.epoch > read.epoch else read for known, read in chains)
        )

    def apply_peer(self, message: ClaimMessage) -> bool:
        """Apply the chains of a peer's message; return whether any was news."""
        if not message.chains:
            return False
        count = message.placement.partition_count
        if count and self.is_empty and count != len(self.placement.partitions):
            self.placement = GroupPlacement.empty(count)
        partitions = list(self.placement.partitions)
        news = False
        for partition, chain in _read_chains(message):
            if partition < len(partitions) and chain.epoch > partitions[partition].epoch:
                partitions[partition] = _joined(partitions[partition], chain)
                news = True
        if news:
            self.placement = GroupPlacement(tuple(partitions))
        return news

    def write_all(self, message: ClaimMessage) -> None:
        """Write all chains into an answer."""
        message.placement.partition_count = len(self.placement.partitions)
        for partition, chain in enumerate(self.placement.partitions):
            if chain.groups:
                write_chain(message, partition, chain, 0)


def write_chain(
    message: ClaimMessage, partition: int, chain: GroupHistory, first_epoch: int
) -> None:
    """Write a partition's groups into a message, from one epoch on."""
    written = message.chains.add(partition=partition)
    for group in chain.groups:
        if group.epoch < first_epoch:
            continue
        item = written.groups.add(
            epoch=group.epoch, forgets=group.forgets, certified=group.certified
        )
        for member in group.members:
            item.members.add(name=member.name, incarnation=member.incarnation)


def _joined(known: GroupHistory, news: GroupHistory) -> GroupHistory:
    """Return a chain with the groups known before those that are news."""
    first_epoch = news.groups[0].epoch
    older = tuple(group for group in known.groups if group.epoch < first_epoch)
    return GroupHistory((*older, *news.groups)[-GROUP_HISTORY_LENGTH:])


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
