"""Decides how a read of results is served: the age of its view, its wait, its size. Pure.

Owns the limits of reads. Inputs: the batch as in the ledger; ages and waits are in seconds.
"""

from __future__ import annotations

from stagewalk.gateway.batches.batch import Batch
from stagewalk.gateway.batches.records import ItemFinished

PAGE_BYTES = 900_000
"""Maximum text in one answer, unless its only result is larger."""

MAXIMUM_WAIT_SECONDS = 1.0
"""Maximum wait of a read for further results, even if its caller allows more."""

MAXIMUM_VIEW_AGE_SECONDS = 2.6
"""A followed view that is older than this is brought up to date before results are read from it."""

MAXIMUM_UNFOLLOWED_AGE_SECONDS = 0.3
"""The same for a view that is only read on demand: its lag is unbounded."""

MAXIMUM_RELAYED_AGE_SECONDS = 0.6
"""The same for a call that another node relayed: this node may be cut off from the log, and must
not return fewer results than were read elsewhere."""

NEARLY_DONE_SHARE = 0.75
TAIL_SHARE = 0.15
"""A read is held if at least `NEARLY_DONE_SHARE` of a step's items have results and it asks for no
more than the last results (`TAIL_SHARE` of the items): if each result were returned at once, the
trainer would often be between two reads when the last one arrives."""

OPEN_BATCH_POLL_SECONDS = 0.15
"""How often a read polls the log for results of an open batch before the whole log is read."""


def is_stale(age: float, *, following: bool, maximum_age_seconds: float) -> bool:
    """Whether a view must be brought up to date before results are read from it.

    Parameters
    ----------
    following
        Whether the view is followed, or read only on demand.
    maximum_age_seconds
        How old a followed view may be.
    """
    return age > (maximum_age_seconds if following else MAXIMUM_UNFOLLOWED_AGE_SECONDS)


def should_wait(batch: Batch, position: int, *, hold_results: bool) -> bool:
    """Whether a read from a position waits for further results.

    Parameters
    ----------
    hold_results
        Whether reads of the last results of a step wait until its trainer can continue.
    """
    if batch.ended or len(batch.listed) == len(batch.items):
        return False
    if position >= len(batch.results):
        return True
    return hold_results and _reads_last_results(batch, position)


def select_page(batch: Batch, position: int) -> list[ItemFinished]:
    """Return the results from a position on that fit into one answer."""
    page: list[ItemFinished] = []
    size = 0
    for result in batch.results[position:]:
        size += len(result.text)
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page


def _reads_last_results(batch: Batch, position: int) -> bool:
    """Whether a read asks for the last results of a step that its trainer still waits for.

    A trainer reads about twice a second, and can continue only once its groups are complete.
    """
    items = len(batch.items)
    nearly_done = len(batch.listed) >= NEARLY_DONE_SHARE * items
    few_new = len(batch.results) - position <= TAIL_SHARE * items
    return nearly_done and few_new and not batch.satisfied
