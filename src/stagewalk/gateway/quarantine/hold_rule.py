"""Number of crashes that quarantine a request, and duration of the quarantine. Pure.

A worker that crashes fails all its requests, and a power failure of a rack stops many workers. To
spare the other requests, only consecutive crashes count: the previous crash was already known when
the request was sent, and its content was not answered in between. The count of a request that
crashes every worker grows with each run; that of any other is cleared by its first answer. See
`docs/design/0150`.
"""

from __future__ import annotations

import zlib

from stagewalk.gateway.quarantine.records import MAXIMUM_CONSECUTIVE_CRASHES

HELD_AFTER_CRASHES = 3
"""Consecutive crashes after which a request is quarantined, as required by users."""

HELD_AFTER_CRASHES_OF_ITEM = 5
"""The same for an item of a batch; higher because its whole group is lost with it. Users tolerate
up to three further runs."""

HELD_AFTER_CRASHES_AT_ONE_ADDRESS = 5
"""The same if all crashes were at one address. It is higher because the worker may be at fault, and
finite because it may be the only one of its service."""

CRASHES_REMEMBERED_SECONDS = 600.0
"""How long the crashes of a content that is not quarantined count. This covers callers that retry
within minutes, but not a request that loses a worker twice a day."""

FIRST_HOLD_SECONDS = 15.0
LATER_HOLD_SECONDS = 6 * 3600.0
LATER_HOLD_FACTOR = 4.0
"""The first quarantine is short, so that a request that was quarantined by mistake is soon served
again. If its next run crashes a worker too, it is quarantined for six hours, then for a day."""

MAXIMUM_LATER_HOLDS = 4
"""Maximum exponent of `LATER_HOLD_FACTOR`: the duration grows up to 64 days."""

HOLD_JITTER = 0.5
"""Maximum share by which a node extends a quarantine. The jitter differs by node, so that one node
runs the request first and publishes the outcome to the others."""


def next_crash_count(known: int) -> int:
    """Return the consecutive crashes after one more of a request sent with `known` crashes."""
    return min(known + 1, MAXIMUM_CONSECUTIVE_CRASHES)


def crashes_needed(*, has_one_address: bool, item: bool) -> int:
    """Return the number of consecutive crashes that quarantines a content."""
    needed = HELD_AFTER_CRASHES_OF_ITEM if item else HELD_AFTER_CRASHES
    return max(needed, HELD_AFTER_CRASHES_AT_ONE_ADDRESS) if has_one_address else needed


def hold_duration_seconds(extra_crashes: int) -> float:
    """Return the duration of a quarantine, in seconds after the newest crash.

    Parameters
    ----------
    extra_crashes
        Consecutive crashes beyond those that it took to quarantine the request.
    """
    if extra_crashes <= 0:
        return FIRST_HOLD_SECONDS
    return LATER_HOLD_SECONDS * LATER_HOLD_FACTOR ** min(extra_crashes - 1, MAXIMUM_LATER_HOLDS)


def retention_seconds(extra_crashes: int) -> float:
    """Return how long a content's crashes count: at least twice its maximum quarantine.

    Parameters
    ----------
    extra_crashes
        As in `hold_duration_seconds`; negative if the content is not quarantined.
    """
    return max(
        CRASHES_REMEMBERED_SECONDS, 2.0 * (1.0 + HOLD_JITTER) * hold_duration_seconds(extra_crashes)
    )


def with_jitter(seconds: float, key: str) -> float:
    """Return a duration extended by up to `HOLD_JITTER`, deterministically by key."""
    share = zlib.crc32(key.encode()) / 2**32
    return seconds * (1.0 + HOLD_JITTER * share)
