"""Requests in flight: each ends at its deadline, and all of them when a stop's time is up."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from stagewalk.common.steady_clock import steady_seconds


class OpenRequests:
    """The requests that are being forwarded.

    Ending them here, rather than by closing their connections, lets each forwarder find out whether
    its request may have run, and lets the caller be told.
    """

    def __init__(self) -> None:
        self._scopes: set[anyio.CancelScope] = set()
        self._ended = False

    @contextmanager
    def until(self, deadline_at: float) -> Iterator[None]:
        """Cancel the block at a steady time, or when all requests are ended."""
        left = max(0.0, deadline_at - steady_seconds())
        with anyio.move_on_after(left) as scope:
            self._scopes.add(scope)
            if self._ended:
                scope.cancel()
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def end_all(self) -> None:
        """End all requests in flight, and any that begin later."""
        self._ended = True
        for scope in self._scopes:
            scope.cancel()
