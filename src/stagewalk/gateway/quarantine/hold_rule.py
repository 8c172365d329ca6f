"""How many crashes hold a request back, and for how long. Pure.

A worker runs several requests as its process ends, and all of them lose it; a rack that loses power
ends many workers at once. So what counts is not the number of crashes that a content was part of,
but of consecutive ones: each was sent when the crash before it was known, and nothing of that
content ran whole in between. The count of a request that crashes every worker grows with each run;
that of a bystander is cleared by its first answer.

Inputs: consecutive crashes, whether all were at one address, whether it is an item of a batch.
Outputs are in seconds after the newest crash. What it refuses, beside a count of crashes without
regard to their order, is in `docs/design/0150`.
"""

from __future__ import annotations

import zlib

from stagewalk.gateway.quarantine.records import MAXIMUM_CONSECUTIVE_CRASHES

HELD_AFTER_CRASHES = 3
"""Consecutive crashes after which a request is held back: the bound that users set on it."""

HELD_AFTER_CRASHES_OF_ITEM = 5
"""The same for an item of a batch, whose whole group is lost with it: within the three further runs
that users forgive."""

HELD_AFTER_CRASHES_AT_ONE_ADDRESS = 5
"""The same where all crashes were at one address: that worker may be at fault, but a service may
also have only one."""

CRASHES_REMEMBERED_SECONDS = 600.0
"""How long crashes count of a content that is not held back: long enough for a caller that retries
every few seconds, or minutes; too short for a request that lost a worker twice a day."""

FIRST_HOLD_SECONDS = 15.0
LATER_HOLD_SECONDS = 6 * 3600.0
LATER_HOLD_FACTOR = 4.0
"""A request that is held back is run once more soon, in case it was only unlucky: a
popular one is served again then (60 s in place of 15 s refused 2.9 times as many requests in
seeded losses of all workers). If that run crashes its worker too, the next comes after six hours,
then after a day."""

MAXIMUM_LATER_HOLDS = 4
"""After so many the length grows no more: 64 days."""

HOLD_JITTER = 0.5
"""A node's hold is up to this part of its length longer, each node's by another amount, so that not
all nodes try at once: the first one publishes the outcome."""


def next_crash_count(known: int) -> int:
    """Return the consecutive crashes with one more, whose request was sent when `known` were."""
    return min(known + 1, MAXIMUM_CONSECUTIVE_CRASHES)


def crashes_needed(*, one_address: bool, item: bool) -> int:
    """Return how many consecutive crashes it takes for a content to be held back."""
    needed = HELD_AFTER_CRASHES_OF_ITEM if item else HELD_AFTER_CRASHES
    return max(needed, HELD_AFTER_CRASHES_AT_ONE_ADDRESS) if one_address else needed


def hold_seconds(further: int) -> float:
    """Return how many seconds a request is held back.

    Parameters
    ----------
    further
        Consecutive crashes beyond those that it took to be held back.
    """
    if further <= 0:
        return FIRST_HOLD_SECONDS
    return LATER_HOLD_SECONDS * LATER_HOLD_FACTOR ** min(further - 1, MAXIMUM_LATER_HOLDS)


def remembered_seconds(further: int) -> float:
    """Return how many seconds a content's crashes count: twice as long as they may hold it back.

    Parameters
    ----------
    further
        As in `hold_seconds`; below 0 if the content is not held back.
    """
    return max(CRASHES_REMEMBERED_SECONDS, 2.0 * (1.0 + HOLD_JITTER) * hold_seconds(further))


def jittered(seconds: float, key: str) -> float:
    """Return a time that differs from key to key, and is up to `HOLD_JITTER` longer."""
    share = zlib.crc32(key.encode()) / 2**32
    return seconds * (1.0 + HOLD_JITTER * share)
