"""Tells which process holds the other end of a connection to a server of the soak."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

SOCKETS = Path("/proc/net/tcp")
LOCAL_ADDRESS, REMOTE_ADDRESS, INODE = 1, 2, 9
"""Columns of the kernel's table."""


def process_at_port(own_port: int, peer_port: int, processes: Iterable[int]) -> int | None:
    """Return the process, of those given, that connected from a port to one of ours.

    Parameters
    ----------
    own_port, peer_port
        The connection's ports at the server and at the client.
    processes
        Process ids that may be the client.

    Returns
    -------
    int | None
        None if none of them has the connection open any more.
    """
    inode = _inode(peer_port, own_port)
    if inode is None:
        return None
    link = f"socket:[{inode}]"
    return next((process for process in processes if link in _open_links(process)), None)


def _inode(local_port: int, remote_port: int) -> str | None:
    for line in SOCKETS.read_text().splitlines()[1:]:
        columns = line.split()
        ports = _port(columns[LOCAL_ADDRESS]), _port(columns[REMOTE_ADDRESS])
        if ports == (local_port, remote_port):
            return columns[INODE]
    return None


def _port(address: str) -> int:
    return int(address.rpartition(":")[2], 16)


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
