"""What senders tell of requests whose worker may have ended, and ask before they send one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.workers.worker import Worker

FIRST_TOLD_LEVEL = 2
"""From how many ends on a runner tells of its items and score calls. It goes on with them itself,
so one end matters to nobody else, and an engine that ends loses up to sixteen items."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as it was sent to a worker.

    Attributes
    ----------
    known_level
        Worker ends in a row that were known of its content.
    sent_at
        Steady time.
    """

    request_id: str
    content: RequestContent
    worker: Worker
    route: str
    known_level: int
    sent_at: float


class CrashReports(Protocol):
    """Where senders tell how their requests ended."""

    def known_level(self, content: RequestContent) -> int:
        """Return how many worker ends in a row are known of a content.

        Any is reason enough to send it to one worker at a time.
        """

    async def denial(self, content: RequestContent, *, item: bool = False) -> Denial | None:
        """Return why a request must not be sent; of a suspect, newer news is asked for first.

        Parameters
        ----------
        item
            Whether it is an item of a batch.
        """

    async def lost(self, sent: SentRequest, failure: AttemptFailure) -> None:
        """Take that contact with a worker was lost, and find out whether the worker ended."""

    def answered(self, content: RequestContent) -> None:
        """Take that a worker ran a request to an answer: it doesn't crash whoever runs it."""

    def tell(self, content: RequestContent, from_level: int = 1) -> None:
        """Have other nodes learn of the worker ends of a content, if there are so many."""

    async def told(self, content: RequestContent) -> None:
        """Wait until others can learn what `tell` was asked for, for a short time at most."""
