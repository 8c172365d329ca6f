"""Port by which senders report crashes and check for quarantined requests.

Used for forwarded requests, streams, batch items and score calls; implemented by
`nodes.crash_watch`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.workers.worker import Worker

MINIMUM_CRASHES_TO_PUBLISH = 2
"""Consecutive crashes from which a runner publishes the crashes of an item or score call. A single
crash matters to no other node, since the runner itself retries; and each engine crash loses up to
sixteen items."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as it was sent to a worker.

    Attributes
    ----------
    known_crashes
        Consecutive crashes of its content that were known when it was sent.
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
        """Return the number of known consecutive crashes of a content.

        If there are any, the content must be sent to one worker at a time only.
        """

    async def denial(self, content: RequestContent, *, item: bool = False) -> Denial | None:
        """Return why a request must not be sent, None if it may be.

        For a content with known crashes, the records of other nodes are read first.

        Parameters
        ----------
        item
            Whether it is an item of a batch.
        """

    async def connection_lost(self, sent: SentRequest, failure: AttemptFailure) -> None:
        """Record a lost connection to a worker, and check whether the worker crashed."""

    def answered(self, content: RequestContent) -> None:
        """Record that a worker answered a request, which clears the crashes of its content."""

    def publish(self, content: RequestContent, from_crashes: int = 1) -> None:
        """Publish a content's crashes to other nodes if there are at least `from_crashes`."""

    async def wait_published(self, content: RequestContent) -> None:
        """Wait, for a short time at most, until published crashes are in the log."""
