"""Fakes for tests of crash reports."""

from __future__ import annotations

from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.crash_reports import SentRequest


class NoCrashes:
    """Crash reports that never contain a crash."""

    def known_crashes(self, _content: RequestContent) -> int:
        return 0

    async def denial(self, _content: RequestContent, *, item: bool = False) -> Denial | None:
        return None

    async def connection_lost(self, _sent: SentRequest, _failure: AttemptFailure) -> None:
        pass

    def answered(self, _content: RequestContent) -> None:
        pass

    def publish(self, _content: RequestContent, from_crashes: int = 1) -> None:
        pass

    async def wait_published(self, _content: RequestContent) -> None:
        pass
