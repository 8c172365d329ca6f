"""Registration of an engine with the platform's machine list."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import httpx

from stagewalk.node.core.platform import MachineKind, MachineState
from stagewalk_standins.event_log import log_event
from stagewalk_standins.http_client import open_client

REGISTER_TIMEOUT_SECONDS = 5.0
REGISTER_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineMachine:
    """Location of an engine, and the machine list it registers with, if any."""

    machines_url: str
    name: str
    listen: str
    region: str
    zone: str
    service: str

    async def register(self, state: MachineState) -> None:
        """Register the engine with a state, retrying until it succeeds."""
        if not self.machines_url:
            return
        host, _, port = self.listen.rpartition(":")
        row: dict[str, str | int] = {
            "kind": MachineKind.ENGINE,
            "host": host,
            "port": int(port),
            "region": self.region,
            "zone": self.zone,
            "state": state,
            "service": self.service,
        }
        async with open_client(REGISTER_TIMEOUT_SECONDS) as client:
            while not await self._put(client, row):
                await anyio.sleep(REGISTER_RETRY_SECONDS)

    async def _put(self, client: httpx.AsyncClient, row: dict[str, str | int]) -> bool:
        try:
            answer = await client.put(f"{self.machines_url}/machines/{self.name}", json=row)
        except httpx.HTTPError as error:
            log_event("not_registered", error=type(error).__name__)
            return False
        return answer.is_success
