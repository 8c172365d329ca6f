"""Asks nodes which configuration they have in force.

Polls `GET /control/status`; for nodes that were not asked, uses the offsets that others report.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass

import httpx
import msgspec
from expression import Error, Ok, Result

CALL_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 0.2


class NodeReport(msgspec.Struct, frozen=True):
    """The fields of a node's status that concern configuration.

    `configuration_offsets` holds the other members' offsets as the node knows them.
    """

    name: str
    configuration_offset: int
    configuration_digest: str
    ready: bool = True
    revisions: dict[str, int] = {}
    configuration_offsets: dict[str, int] = {}


@dataclass(frozen=True, slots=True)
class NodeProgress:
    """Configuration offset of one node, reported by itself or by another node (empty digest).

    `offset` is None for a node that did not answer; `failure` holds the cause.
    """

    name: str
    offset: int | None
    digest: str = ""
    failure: str = ""

    def is_late(self, offset: int) -> bool:
        """Return whether the node is not known to have reached an offset."""
        return self.offset is None or self.offset < offset


def ask_nodes(urls: Sequence[str]) -> list[NodeProgress]:
    """Return the progress of the nodes asked and of the members they know, sorted by name."""
    progress: dict[str, NodeProgress] = {}
    reported: dict[str, int] = {}
    with httpx.Client(timeout=CALL_TIMEOUT_SECONDS) as client:
        for url in urls:
            answer = _ask(client, url)
            if answer.is_error():
                progress[url] = NodeProgress(url, None, failure=answer.error)
                continue
            report = answer.ok
            progress[report.name] = NodeProgress(
                report.name, report.configuration_offset, report.configuration_digest
            )
            for name, offset in report.configuration_offsets.items():
                reported[name] = max(offset, reported.get(name, 0))
    for name, offset in reported.items():
        progress.setdefault(name, NodeProgress(name, offset))
    return [progress[name] for name in sorted(progress)]


def _ask(client: httpx.Client, url: str) -> Result[NodeReport, str]:
    try:
        response = client.get(f"{url}/control/status")
        if not response.is_success:
            return Error(f"HTTP {response.status_code}")
        return Ok(msgspec.json.decode(response.content, type=NodeReport))
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        return Error(str(error) or type(error).__name__)


@dataclass(frozen=True, slots=True)
class WaitResult:
    """Result of a wait: final progress of all nodes, those still late, and the last to catch up."""

    nodes: list[NodeProgress]
    late: list[NodeProgress]
    slowest: str
    seconds: float


def wait_for_nodes(urls: Sequence[str], offset: int, timeout_seconds: float) -> WaitResult:
    """Poll until every node has reached an offset or the timeout expires."""
    began = time.monotonic()
    slowest = ""
    while True:
        nodes = ask_nodes(urls)
        late = [node for node in nodes if node.is_late(offset)]
        waited = time.monotonic() - began
        if not late or waited >= timeout_seconds:
            return WaitResult(nodes, late, slowest, waited)
        slowest = late[0].name
        time.sleep(POLL_SECONDS)
