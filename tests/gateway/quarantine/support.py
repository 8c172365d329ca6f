"""Fakes of what finds requests that crash workers."""

from __future__ import annotations

from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.crash_reports import SentRequest


class NoCrashes:
    """Crash reports of a world in which nothing crashes."""

    def known_level(self, _content: RequestContent) -> int:
        return 0

    async def denial(self, _content: RequestContent, *, item: bool = False) -> Denial | None:
        return None

    async def lost(self, _sent: SentRequest, _failure: AttemptFailure) -> None:
        pass

    def answered(self, _content: RequestContent) -> None:
        pass

    def tell(self, _content: RequestContent, from_level: int = 1) -> None:
        pass

    async def told(self, _content: RequestContent) -> None:
        pass
