"""Port by which senders report crashes, and ask whether a request is held back.

Owns the types of such reports; `nodes.crash_watch` implements them. Relied on by every sender:
forwarded requests, streams, items and score calls.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.workers.worker import Worker

MINIMUM_CRASHES_TO_PUBLISH = 2
"""Consecutive crashes from which a runner publishes those of its items and score calls. It goes on
with them itself, so one crash matters to no other node, and an engine that ends loses up to sixteen
items."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as it was sent to a worker.

    Attributes
    ----------
    known_crashes
        Consecutive crashes that were known of its content.
    sent_at
        Steady time.
    """

    request_id: str
    content: RequestContent
    worker: Worker
    route: str
    known_crashes: int
    sent_at: float


class CrashReports(Protocol):
    """Crash reports of senders."""

    def known_crashes(self, content: RequestContent) -> int:
        """Return the number of consecutive crashes known of a content.

        A content with any is sent to one worker at a time.
        """

    async def denial(self, content: RequestContent, *, item: bool = False) -> Denial | None:
        """Return why a request must not be sent, None if it may be.

        For a content with crashes the records of other nodes are read first.

        Parameters
        ----------
        item
            Whether it is an item of a batch.
        """

    async def connection_lost(self, sent: SentRequest, failure: AttemptFailure) -> None:
        """Record that the connection to a worker was lost; find out whether the worker ended."""

    def answered(self, content: RequestContent) -> None:
        """Record that a worker ran a request to an answer: it crashes not every worker."""

    def publish(self, content: RequestContent, from_crashes: int = 1) -> None:
        """Publish the crashes of a content to other nodes, if there are at least so many."""

    async def wait_published(self, content: RequestContent) -> None:
        """Wait until what `publish` was asked for is in the log, for a short time at most."""
