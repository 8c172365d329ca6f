"""A request with one answer over the network, such as a call to a platform service.

Owns one call's state; relies on `network` for both ways.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from stagewalk.simulation.layout import Endpoint
from stagewalk.simulation.network import Network

CONNECT_TIMEOUT_SECONDS = 1.0


Answer = TypeVar("Answer")


class RemoteCall(Generic[Answer]):
    """One call: exactly one of `answered` and `failed` is called, once.

    Parameters
    ----------
    serve
        Runs at the server; it is given what answers the call, now or later. If it returns
        False, the server refused the connection.
    failed
        Called with whether the request may have reached the server.
    """

    def __init__(
        self,
        network: Network,
        client: Endpoint,
        server: Endpoint,
        *,
        timeout_seconds: float,
        serve: Callable[[Callable[[Answer], None]], bool],
        answered: Callable[[Answer], None],
        failed: Callable[[bool], None],
    ) -> None:
        self._network = network
        self._client = client
        self._server = server
        self._serve = serve
        self._answered = answered
        self._failed = failed
        self._settled = False
        scheduler = network.scheduler
        if network.blocked(client, server) or network.blocked(server, client):
            scheduler.after(CONNECT_TIMEOUT_SECONDS, lambda: self._fail(False))
            return
        scheduler.after(network.stream_delay(client, server), self._arrive)
        scheduler.after(timeout_seconds, lambda: self._fail(True))

    def _arrive(self) -> None:
        if not self._serve(self._respond):
            delay = self._network.latency(self._server, self._client)
            self._network.scheduler.after(delay, lambda: self._fail(False))

    def _respond(self, answer: Answer) -> None:
        """Send the answer back; if a partition drops it, the call times out."""
        if self._network.blocked(self._server, self._client):
            return
        delay = self._network.stream_delay(self._server, self._client)
        self._network.scheduler.after(delay, lambda: self._answer(answer))

    def _answer(self, answer: Answer) -> None:
        if not self._settled:
            self._settled = True
            self._answered(answer)

    def _fail(self, sent: bool) -> None:
        if not self._settled:
            self._settled = True
            self._failed(sent)
