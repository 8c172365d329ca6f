"""Planner of replica group changes, run by the holder of the placement duty.

Tracks how long nodes have been missing. Inputs are the live nodes with their zones, the groups in
the log, and the time in seconds. For each partition it forms a first group, replaces a lost group,
replaces replicas that are missing, leaving or have abandoned recovery, or else spreads replicas
over zones. Each change transfers state, so it waits for its delay in `PlacementPlannerConfig`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from stagewalk.common.identities import Incarnation, NodeName, Placement
from stagewalk.node.claims.placement import (
    REPLICATION_FACTOR,
    GroupChange,
    GroupHistory,
    GroupMember,
    GroupPlacement,
    MemberRecord,
    PlacementChange,
    ReplicaGroup,
)


@dataclass(frozen=True, slots=True)
class PlacementPlannerConfig:
    """Delays and limits of the planner.

    Attributes
    ----------
    settle_seconds
        Members must be unchanged for this long before first groups are formed or groups grown.
    replace_after_seconds
        A replica missing for this long is replaced.
    lost_after_seconds
        A group with too few members to hand over its state for this long counts as lost.
    retry_seconds
        A proposed change that is not in the log after this time is proposed again.
    maximum_changes
        Maximum number of partitions changed by one record, not counting first groups.
    """

    settle_seconds: float = 3.0
    replace_after_seconds: float = 5.0
    lost_after_seconds: float = 120.0
    retry_seconds: float = 4.0
    maximum_changes: int = 16


@dataclass(frozen=True, slots=True)
class PlacementCandidate:
    """A live node; a leaving one still hands over its state."""

    incarnation: Incarnation
    placement: Placement
    leaving: bool = False


PlacementCandidates = Mapping[NodeName, PlacementCandidate]


class PlacementPlanner:
    """Proposes changes that keep every partition on live replicas in distinct zones.

    A proposed change takes effect only when the placement fold accepts its record.
    """

    def __init__(self, config: PlacementPlannerConfig) -> None:
        self._config = config
        self._members: dict[NodeName, PlacementCandidate] = {}
        self._changed_at = float("-inf")
        self._missing_since: dict[NodeName, float] = {}
        self._proposed: GroupPlacement | None = None
        self._retry_at = float("-inf")

    def plan(
        self, members: PlacementCandidates, placement: GroupPlacement, fence: int, now: float
    ) -> PlacementChange | None:
        """Return the record to append now, if any. `fence` is the placement lease's epoch."""
        self._track_members(members, placement, now)
        if placement is self._proposed and now < self._retry_at:
            return None
        changes: list[GroupChange] = []
        for partition, chain in enumerate(placement.partitions):
            change = self._plan_partition(partition, chain, now)
            if change is not None:
                changes.append(change)
        changes = self._limit_changes(changes)
        if not changes:
            return None
        self._proposed = placement
        self._retry_at = now + self._config.retry_seconds
        return PlacementChange(fence=fence, changes=tuple(changes))

    def _limit_changes(self, changes: Sequence[GroupChange]) -> list[GroupChange]:
        first = [change for change in changes if change.base_epoch == 0]
        later = [change for change in changes if change.base_epoch > 0]
        return first + later[: self._config.maximum_changes]

    def _track_members(
        self, members: PlacementCandidates, placement: GroupPlacement, now: float
    ) -> None:
        if dict(members) != self._members:
            self._members = dict(members)
            self._changed_at = now
        for name in [name for name in self._missing_since if name in members]:
            del self._missing_since[name]
        for chain in placement.partitions:
            for name in chain.current.names if chain.current is not None else ():
                if name not in members:
                    self._missing_since.setdefault(name, now)

    def _plan_partition(
        self, partition: int, chain: GroupHistory, now: float
    ) -> GroupChange | None:
        group = chain.current
        if group is None:
            return self._first_group(partition, now)
        if chain.lost or self._is_unrecoverable(group, now):
            chosen = self._select_members(partition, [])
            return self._change(partition, chain.epoch, chosen, forgets=True)
        if len(self._live_members(group)) < group.recovery:
            return None
        return self._replacement_change(partition, chain, group, now)

    def _first_group(self, partition: int, now: float) -> GroupChange | None:
        if not self._is_stable(now):
            return None
        return self._change(partition, 0, self._select_members(partition, []))

    def _replacement_change(
        self, partition: int, chain: GroupHistory, group: ReplicaGroup, now: float
    ) -> GroupChange | None:
        """Return the change, if any, that replaces replicas of a group able to hand over."""
        kept = [name for name in group.names if self._is_kept(name, now)]
        rejoins = any(self._abandoned_recovery(member.name, chain) for member in group.members)
        if len(kept) == len(group.members) and not rejoins:
            if not self._is_stable(now):
                return None
            kept = self._without_duplicate_zone(kept)
        chosen = self._select_members(partition, kept)
        if set(chosen) == set(group.names) and not rejoins:
            return None
        return self._change(partition, chain.epoch, chosen)

    def _is_stable(self, now: float) -> bool:
        return now >= self._changed_at + self._config.settle_seconds

    def _live_members(self, group: ReplicaGroup) -> list[GroupMember]:
        return [member for member in group.members if member.name in self._members]

    def _is_unrecoverable(self, group: ReplicaGroup, now: float) -> bool:
        """Return whether too few members have been left to hand over for long enough."""
        lost_after = self._config.lost_after_seconds
        missing = [
            name
            for name in group.names
            if name in self._missing_since and now >= self._missing_since[name] + lost_after
        ]
        return len(group.members) - len(missing) < group.recovery

    def _is_kept(self, name: NodeName, now: float) -> bool:
        member = self._members.get(name)
        if member is not None:
            return not member.leaving
        missing_since = self._missing_since.get(name, now)
        return now < missing_since + self._config.replace_after_seconds

    def _abandoned_recovery(self, name: NodeName, chain: GroupHistory) -> bool:
        """Return whether a live member has abandoned recovery and must be added again."""
        member = self._members.get(name)
        return member is not None and any(
            item.member == GroupMember(name, member.incarnation) for item in chain.abandonments
        )

    def _without_duplicate_zone(self, kept: list[NodeName]) -> list[NodeName]:
        """Drop one of two replicas in the same zone if another zone can take it."""
        zones = [self._members[name].placement for name in kept if name in self._members]
        free = {member.placement for member in self._members.values() if not member.leaving} - set(
            zones
        )
        if len(set(zones)) == len(zones) or not free or len(zones) < len(kept):
            return kept
        for index, name in enumerate(kept):
            if self._members[name].placement in zones[:index]:
                return [other for other in kept if other != name]
        return kept

    def _select_members(self, partition: int, kept: list[NodeName]) -> list[NodeName]:
        """Fill a group from live nodes: other zones, then the same region, then hash weight."""
        chosen = list(kept)
        free = {
            name
            for name, member in self._members.items()
            if not member.leaving and name not in kept
        }
        while len(chosen) < REPLICATION_FACTOR and free:
            best = min(free, key=lambda name: self._preference(partition, name, chosen))
            chosen.append(best)
            free.remove(best)
        return chosen

    def _preference(
        self, partition: int, name: NodeName, chosen: list[NodeName]
    ) -> tuple[bool, bool, int, str]:
        """Return the sort key of a candidate: unused zone, same region, rendezvous hash weight."""
        placement = self._members[name].placement
        others = [self._members[other].placement for other in chosen if other in self._members]
        crowded = placement in others
        far = bool(others) and placement.region != others[0].region
        weight = xxhash.xxh64_intdigest(f"{partition}\x00{name}".encode())
        return crowded, far, -weight, name

    def _change(
        self, partition: int, base_epoch: int, chosen: list[NodeName], forgets: bool = False
    ) -> GroupChange | None:
        members = tuple(
            MemberRecord(name, self._members[name].incarnation)
            for name in chosen
            if name in self._members
        )
        if not members:
            return None
        return GroupChange(
            partition=partition, base_epoch=base_epoch, members=members, forgets=forgets
        )
