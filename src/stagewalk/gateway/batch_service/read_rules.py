"""Decides how a read of results is served: the age of its view, its wait, its size. Pure.

Owns the bounds of reads. Relies on the batch as the ledger shows it; ages and waits are in seconds.
"""

from __future__ import annotations

from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.records import ItemFinished

PAGE_BYTES = 900_000
"""Text in one answer, unless one result alone is larger."""

MAXIMUM_WAIT_SECONDS = 1.0
"""How long a read waits for news at most, whatever its caller offers."""

MAXIMUM_VIEW_AGE_SECONDS = 2.6
"""A view that is followed and older than this is brought up to date before it is shown."""

MAXIMUM_UNFOLLOWED_AGE_SECONDS = 0.3
"""The same for a view that is only read when asked for: nothing bounds how far it lags."""

MAXIMUM_RELAYED_AGE_SECONDS = 0.6
"""The same for a call that another node relayed. That node answers for it as if it had read the
log just now, while this one may be cut off: with 2.6 s one showed nothing at position 43 when 45
results had been read elsewhere."""

NEARLY_DONE_SHARE = 0.75
TAIL_SHARE = 0.15
"""A read is held that asks for no more than the last results (this share) of a step that is nearly
done: others, from the start of a step, are answered at once. Answered at each result, a step ended
0.49 s after its last result on average (32 steps), held 0.38 s."""

OPEN_READ_SECONDS = 0.15
"""How often the log is asked for news of an open batch before it has been read whole."""


def is_stale(age: float, *, following: bool, oldest_seconds: float) -> bool:
    """Whether a view must be brought up to date before it is shown.

    Parameters
    ----------
    following
        Whether the view is followed, or read only when asked for.
    oldest_seconds
        How old a followed view may be.
    """
    return age > (oldest_seconds if following else MAXIMUM_UNFOLLOWED_AGE_SECONDS)


def is_worth_waiting(batch: Batch, position: int, *, hold_results: bool) -> bool:
    """Whether a read from a position waits for further results.

    Parameters
    ----------
    hold_results
        Whether reads of the last results of a step wait until its trainer can go on.
    """
    if batch.ended or len(batch.listed) == len(batch.items):
        return False
    if position >= len(batch.results):
        return True
    return hold_results and _asks_for_last(batch, position)


def select_page(batch: Batch, position: int) -> list[ItemFinished]:
    """Return the results from a position on that one answer holds."""
    page: list[ItemFinished] = []
    size = 0
    for result in batch.results[position:]:
        size += len(result.text)
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page


def _asks_for_last(batch: Batch, position: int) -> bool:
    """Whether a read is for the last results of a step, although some are there.

    A trainer reads about twice a second, and can go on only once its groups are whole. Were it
    answered each time one more result is there, it would be between two reads when the last one
    comes.
    """
    items = len(batch.items)
    nearly_done = len(batch.listed) >= NEARLY_DONE_SHARE * items
    few_new = len(batch.results) - position <= TAIL_SHARE * items
    return nearly_done and few_new and not batch.satisfied
