"""Decides in which order waiting items are started. Pure.

Where places suffice: older batches first, within one the items expected to run longest. Where they
don't, a trainer's step is late if its places go to texts that it doesn't wait for. So the trainer
with the least slack comes first (one whose step can't be in time any more after the others: its
share is kept for it all the same), and within a step the groups that it waits for.

Owns these orders. Inputs: expected events (`length_estimate`), the engines' seconds for an event,
when a batch is due. Relies on its caller to say which items share too few places.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.place_demand import claimant_of
from stagewalk.gateway.place_shares.demand import Claimant
from stagewalk.gateway.workers.worker import Worker


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that waits for an engine, and the run of its batch."""

    run: BatchRun
    item: ItemRun


@dataclass(frozen=True, slots=True)
class StepBounds:
    """What bounds when a batch is whole.

    Attributes
    ----------
    due_seconds
        How long after its submission its results are due.
    places
        How many of its items may be at engines at a time.
    event_seconds
        Time that an engine usually takes for an event.
    """

    due_seconds: float
    places: float
    event_seconds: float


def usual_event_seconds(engines: Iterable[Worker], now: float) -> float:
    """Return the time that engines usually take for an event; 0.0 if none was seen of late."""
    seen = [seconds for engine in engines if (seconds := engine.recent_latency(now)) is not None]
    return statistics.median(seen) if seen else 0.0


def order_ample(waiting: Collection[WaitingItem], lengths: LengthEstimate) -> list[WaitingItem]:
    """Return waiting items in their order where places suffice."""

    def key(pair: WaitingItem) -> tuple[float, float, str]:
        return pair.run.batch.seen_at, -lengths.events(pair.item), pair.item.spec.group

    return sorted(waiting, key=key)


def order_scarce(
    waiting: Collection[WaitingItem],
    bounds: Mapping[str, StepBounds],
    lengths: LengthEstimate,
    now: float,
) -> list[WaitingItem]:
    """Return waiting items in their order where places are too few.

    Parameters
    ----------
    bounds
        By batch, what bounds when it is whole.
    """
    steps: dict[str, list[WaitingItem]] = {}
    for pair in waiting:
        steps.setdefault(pair.run.name, []).append(pair)
    runs = {name: pairs[0].run for name, pairs in steps.items()}
    outlooks = {name: _outlook(run, bounds[name], lengths, now) for name, run in runs.items()}
    slacks: dict[Claimant, float] = {}
    for name, run in runs.items():
        claimant = claimant_of(run)
        slacks[claimant] = min(slacks.get(claimant, math.inf), outlooks[name].slack_seconds)

    def urgency(name: str) -> tuple[bool, float, float, str]:
        slack = slacks[claimant_of(runs[name])]
        return slack < 0.0, slack, runs[name].batch.seen_at, name

    return [
        pair
        for name in sorted(steps, key=urgency)
        for pair in _order_step(steps[name], outlooks[name].awaited, lengths)
    ]


def _order_step(
    waiting: Collection[WaitingItem], awaited: Collection[str], lengths: LengthEstimate
) -> list[WaitingItem]:
    """Return a step's waiting items: awaited groups first, of these the longest items."""

    def key(pair: WaitingItem) -> tuple[bool, float, str]:
        group = pair.item.spec.group
        return group not in awaited, -lengths.events(pair.item), group

    return sorted(waiting, key=key)


@dataclass(frozen=True, slots=True)
class _Outlook:
    """What is expected of a batch.

    Attributes
    ----------
    awaited
        The groups that are expected to be the ones its trainer waits for.
    slack_seconds
        Time between their expected end and when they are due; negative if they will be late.
    """

    awaited: frozenset[str]
    slack_seconds: float


@dataclass(slots=True)
class _GroupRest:
    """What is left of a group, in events; whether it came back from an earlier batch."""

    events: float = 0.0
    longest: float = 0.0
    returned: bool = False


def _outlook(run: BatchRun, bounds: StepBounds, lengths: LengthEstimate, now: float) -> _Outlook:
    left_seconds = run.batch.seen_at + bounds.due_seconds - now
    groups = _groups(run, lengths)

    def rank(group: str) -> tuple[bool, bool, float, str]:
        rest = groups[group]
        late = rest.longest * bounds.event_seconds > left_seconds
        return not rest.returned, late, rest.events, group

    awaited = sorted(groups, key=rank)[: _missing_groups(run.batch)]
    events = sum(groups[group].events for group in awaited)
    longest = max((groups[group].longest for group in awaited), default=0.0)
    rounds = max(longest, events / max(1.0, bounds.places))
    return _Outlook(frozenset(awaited), left_seconds - rounds * bounds.event_seconds)


def _groups(run: BatchRun, lengths: LengthEstimate) -> dict[str, _GroupRest]:
    """Return what is left of each group of which something is left.

    A group that returns from an earlier batch counts as awaited whichever others are whole.
    """
    groups: dict[str, _GroupRest] = {}
    for item in run.items.values():
        rest = groups.get(item.spec.group)
        if rest is None:
            rest = groups[item.spec.group] = _GroupRest()
        if item.known_events > 0:
            rest.returned = True
        if item.running is None and not item.waiting:
            continue
        left = max(1.0, lengths.events_left(item))
        rest.events += left
        rest.longest = max(rest.longest, left)
    return groups


def _missing_groups(batch: Batch) -> int | None:
    """Return how many more whole groups its trainer waits for; None: for all."""
    wanted = batch.header.wanted_groups
    return max(0, wanted - batch.whole_groups) if wanted > 0 else None
