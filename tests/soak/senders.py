"""Tells which gateway sent something to a server of the soak: by its connection or by its log."""

from __future__ import annotations

import os
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

SOCKETS = Path("/proc/net/tcp")


@dataclass(frozen=True)
class Connection:
    """The two ports of a connection: at the server and at the client."""

    own_port: int
    peer_port: int


def processes_at(
    connections: Sequence[Connection], processes: Iterable[int]
) -> dict[Connection, int]:
    """Return which of the given processes is the client of each connection.

    Connections that none of them has open any more are left out. The kernel's table is read once,
    as it is long where many connections were made lately.
    """
    table = SOCKETS.read_text()
    holders = {link: process for process in processes for link in _open_links(process)}
    found = {}
    for connection in connections:
        inode = _inode(table, connection)
        holder = None if inode is None else holders.get(f"socket:[{inode}]")
        if holder is not None:
            found[connection] = holder
    return found


def _inode(table: str, connection: Connection) -> str | None:
    """Return the inode of the client's end: the tenth column of the line with both ports."""
    ports = rf":{connection.peer_port:04X} [0-9A-F]+:{connection.own_port:04X} (?:\S+ +){{6}}(\d+)"
    match = re.search(ports, table)
    return None if match is None else match.group(1)


def _open_links(process: int) -> set[str]:
    links = set()
    try:
        for entry in os.scandir(f"/proc/{process}/fd"):
            try:
                links.add(os.readlink(entry.path))
            except OSError:
                continue
    except OSError:
        return set()
    return links


_STARTED = re.compile(
    r"time=\S+T(?P<at>[\d:.]+)Z .*event=item_started node=(?P<node>\S+) item=(?P<item>\S+) "
    r".*worker=(?P<worker>\S+)"
)


@dataclass(frozen=True)
class StartedItem:
    """An item that a gateway logged that it sends to a worker; `at` is the time of day in UTC."""

    at: str
    node: str
    item: str
    worker: str


def started_items(logs: Iterable[Path]) -> list[StartedItem]:
    """Return all items that gateways logged as sent; of a gateway that was killed some may lack."""
    lines = (line for log in logs for line in log.read_text(errors="replace").splitlines())
    matches = (_STARTED.search(line) for line in lines)
    return [StartedItem(**match.groupdict()) for match in matches if match is not None]
