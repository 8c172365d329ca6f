"""Stand-in for the weight store, with one bandwidth limit shared by all fetches."""

from __future__ import annotations

from collections.abc import AsyncGenerator

import anyio
import msgspec

from stagewalk_standins.event_log import log_event
from stagewalk_standins.history_file import clock
from stagewalk_standins.web import (
    OCTETS,
    Answer,
    Application,
    BadRequest,
    Request,
    StreamingResponse,
    json_response,
    problem_response,
)

CHUNK_BYTES = 262_144
FETCH_RETRY_SECONDS = 1.0


class PublishBody(msgspec.Struct, frozen=True):
    """Body of a publish."""

    size_bytes: int


class StoredVersion(msgspec.Struct, frozen=True):
    """A version in the store; `published_at` is the machine's monotonic clock, seconds."""

    version: int
    size_bytes: int
    published_at: float


class WeightServer:
    """Stores versions and serves their bytes at a total of at most `bytes_per_second`."""

    def __init__(self, bytes_per_second: float, fetch_limit: int) -> None:
        self._bytes_per_second = bytes_per_second
        self._fetch_limit = fetch_limit
        self._models: dict[str, dict[int, StoredVersion]] = {}
        self._fetches = 0
        self._next_piece_at = 0.0

    def publish(self, model: str, version: int, size_bytes: int) -> bool:
        """Add a version; returns False if it already exists."""
        versions = self._models.setdefault(model, {})
        if version in versions:
            return False
        versions[version] = StoredVersion(version, size_bytes, clock())
        log_event("version_published", model=model, version=version, size_bytes=size_bytes)
        return True

    def application(self) -> Application:
        """Return the routes of the service."""
        application = Application()
        application.route("PUT", "/models/{model}/versions/{version}", self._publish)
        application.route("GET", "/models/{model}/versions", self._list)
        application.route("GET", "/models/{model}/versions/{version}/weights", self._fetch)
        return application

    async def _publish(self, request: Request) -> Answer:
        model, version = request.path_values["model"], _version(request)
        added = self.publish(model, version, request.decode(PublishBody).size_bytes)
        return json_response(self._models[model][version], 201 if added else 409)

    async def _list(self, request: Request) -> Answer:
        versions = self._models.get(request.path_values["model"], {})
        return json_response({"versions": [versions[number] for number in sorted(versions)]})

    async def _fetch(self, request: Request) -> Answer:
        model, version = request.path_values["model"], _version(request)
        stored = self._models.get(model, {}).get(version)
        if stored is None:
            return problem_response(404, "unknown_version", f"{model} has no version {version}")
        if self._fetches >= self._fetch_limit:
            detail = f"{self._fetches} fetches are running"
            return problem_response(429, "overloaded", detail, "no", FETCH_RETRY_SECONDS)
        log_event("fetch_began", model=model, version=version)
        return StreamingResponse(self._pieces(stored.size_bytes), OCTETS)

    async def _pieces(self, size_bytes: int) -> AsyncGenerator[bytes, None]:
        self._fetches += 1
        try:
            remaining = size_bytes
            while remaining > 0:
                piece = min(CHUNK_BYTES, remaining)
                await self._wait_for_rate(piece)
                yield bytes(piece)
                remaining -= piece
        finally:
            self._fetches -= 1

    async def _wait_for_rate(self, piece_bytes: int) -> None:
        now = clock()
        start = max(now, self._next_piece_at)
        self._next_piece_at = start + piece_bytes / self._bytes_per_second
        await anyio.sleep(self._next_piece_at - now)


def _version(request: Request) -> int:
    text = request.path_values["version"]
    if not text.isdecimal():
        raise BadRequest(f"version {text!r} is not a number")
    return int(text)
