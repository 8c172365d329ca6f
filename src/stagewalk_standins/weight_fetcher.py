"""Download of weights from the weight store, with retries."""

from __future__ import annotations

import anyio
import httpx

from stagewalk.common.identities import ModelName, WeightVersion
from stagewalk_standins.event_log import log_event
from stagewalk_standins.http_client import open_client

FETCH_TRIES = 30
FETCH_RETRY_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 30.0


class WeightFetcher:
    """Fetches weights, retrying on failure, and discards the bytes."""

    def __init__(self, store_url: str) -> None:
        self._store_url = store_url

    async def fetch(self, model: ModelName, version: WeightVersion) -> bool:
        """Fetch a version's weights and return whether that succeeded."""
        if not self._store_url:
            return True
        url = f"{self._store_url}/models/{model}/versions/{version}/weights"
        async with open_client(timeout=FETCH_TIMEOUT_SECONDS) as client:
            for _ in range(FETCH_TRIES):
                status = await _fetch_once(client, url)
                if status in (200, 404):
                    log_event("weights_fetched", model=model, version=version, status=status)
                    return status == 200
                await anyio.sleep(FETCH_RETRY_SECONDS)
        log_event("weights_not_fetched", model=model, version=version)
        return False


async def _fetch_once(client: httpx.AsyncClient, url: str) -> int:
    """Return the HTTP status, or 0 if the request failed."""
    try:
        async with client.stream("GET", url) as answer:
            async for _ in answer.aiter_raw():
                pass
            return answer.status_code
    except httpx.HTTPError:
        return 0
