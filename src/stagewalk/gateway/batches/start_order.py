"""Decides in which order waiting items are started. Pure.

If places suffice: older batches first, and within a batch the items expected to run longest. If
places are limited, a trainer's step is late when its places go to texts that it doesn't wait for.
So the trainer with the least slack comes first, those whose step can't be in time any more come
last (their share of places is kept), and within a step the groups that its trainer waits for come
first.

Inputs: expected events (`length_estimate`), the engines' seconds per event, and when a batch is
due. The caller tells which items have limited places.
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
    """What limits when a batch can complete.

    Attributes
    ----------
    due_seconds
        How long after its submission its results are due.
    places
        How many of its items may run at a time.
    event_seconds
        An engine's usual time per event.
    """

    due_seconds: float
    places: float
    event_seconds: float


def usual_event_seconds(engines: Iterable[Worker], now: float) -> float:
    """Return the engines' median time per event; 0.0 if none was observed recently."""
    seen = [seconds for engine in engines if (seconds := engine.recent_latency(now)) is not None]
    return statistics.median(seen) if seen else 0.0


def order_ample(waiting: Collection[WaitingItem], lengths: LengthEstimate) -> list[WaitingItem]:
    """Return waiting items in start order if places suffice."""

    def key(pair: WaitingItem) -> tuple[float, float, str]:
        return pair.run.batch.seen_at, -lengths.events(pair.item), pair.item.spec.group

    return sorted(waiting, key=key)


def order_scarce(
    waiting: Collection[WaitingItem],
    bounds: Mapping[str, StepBounds],
    lengths: LengthEstimate,
    now: float,
) -> list[WaitingItem]:
    """Return waiting items in start order if places are limited.

    Parameters
    ----------
    bounds
        By batch, what limits when it can complete.
    """
    steps: dict[str, list[WaitingItem]] = {}
    for pair in waiting:
        steps.setdefault(pair.run.name, []).append(pair)
    runs = {name: pairs[0].run for name, pairs in steps.items()}
    forecasts = {
        name: _forecast_step(run, bounds[name], lengths, now) for name, run in runs.items()
    }
    slacks: dict[Claimant, float] = {}
    for name, run in runs.items():
        claimant = claimant_of(run)
        slacks[claimant] = min(slacks.get(claimant, math.inf), forecasts[name].slack_seconds)

    def urgency(name: str) -> tuple[bool, float, float, str]:
        slack = slacks[claimant_of(runs[name])]
        return slack < 0.0, slack, runs[name].batch.seen_at, name

    return [
        pair
        for name in sorted(steps, key=urgency)
        for pair in _order_step(steps[name], forecasts[name].awaited, lengths)
    ]


def _order_step(
    waiting: Collection[WaitingItem], awaited: Collection[str], lengths: LengthEstimate
) -> list[WaitingItem]:
    """Return a step's waiting items: awaited groups first, then the longest items first."""

    def key(pair: WaitingItem) -> tuple[bool, float, str]:
        group = pair.item.spec.group
        return group not in awaited, -lengths.events(pair.item), group

    return sorted(waiting, key=key)


@dataclass(frozen=True, slots=True)
class _StepForecast:
    """Forecast of a batch's completion.

    Attributes
    ----------
    awaited
        The groups expected to be those that its trainer waits for.
    slack_seconds
        Time from their expected end to the due time; negative if they will be late.
    """

    awaited: frozenset[str]
    slack_seconds: float


@dataclass(slots=True)
class _RemainingGroup:
    """A group's remaining events, and whether it was resubmitted from an earlier batch."""

    events: float = 0.0
    longest: float = 0.0
    returned: bool = False


def _forecast_step(
    run: BatchRun, bounds: StepBounds, lengths: LengthEstimate, now: float
) -> _StepForecast:
    left_seconds = run.batch.seen_at + bounds.due_seconds - now
    groups = _groups(run, lengths)

    def rank(group: str) -> tuple[bool, bool, float, str]:
        remaining = groups[group]
        late = remaining.longest * bounds.event_seconds > left_seconds
        return not remaining.returned, late, remaining.events, group

    awaited = sorted(groups, key=rank)[: _missing_groups(run.batch)]
    events = sum(groups[group].events for group in awaited)
    longest = max((groups[group].longest for group in awaited), default=0.0)
    duration_events = max(longest, events / max(1.0, bounds.places))
    return _StepForecast(frozenset(awaited), left_seconds - duration_events * bounds.event_seconds)


def _groups(run: BatchRun, lengths: LengthEstimate) -> dict[str, _RemainingGroup]:
    """Return the remaining work of each incomplete group.

    A group resubmitted from an earlier batch is awaited whichever others are complete.
    """
    groups: dict[str, _RemainingGroup] = {}
    for item in run.items.values():
        remaining = groups.get(item.spec.group)
        if remaining is None:
            remaining = groups[item.spec.group] = _RemainingGroup()
        if item.known_events > 0:
            remaining.returned = True
        if item.running is None and not item.waiting:
            continue
        left = max(1.0, lengths.events_left(item))
        remaining.events += left
        remaining.longest = max(remaining.longest, left)
    return groups


def _missing_groups(batch: Batch) -> int | None:
    """Return how many more complete groups its trainer waits for; None: for all."""
    wanted = batch.header.wanted_groups
    return max(0, wanted - batch.whole_groups) if wanted > 0 else None
