"""Child processes of a benchmark: stand-ins and a node, on free loopback ports.

The processes are stopped when the context manager exits.
"""

from __future__ import annotations

import socket
import subprocess
import sys
import time
from pathlib import Path
from types import TracebackType

import httpx

READY_SECONDS = 20.0
POLL_SECONDS = 0.05
STOP_SECONDS = 5.0
HOST = "127.0.0.1"


def free_address() -> str:
    """Return a loopback address with a port that was free when it was checked."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


class ChildProcesses:
    """A context manager that stops its processes on exit."""

    def __init__(self, log_path: Path) -> None:
        self._log_path = log_path
        self._processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> ChildProcesses:
        self._log_path.parent.mkdir(parents=True, exist_ok=True)
        self._log = self._log_path.open("wb")
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in reversed(self._processes):
            process.terminate()
        for process in reversed(self._processes):
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._log.close()

    def start_standin(self, *arguments: str) -> None:
        """Start a platform stand-in."""
        self._start("stagewalk_standins", *arguments)

    def start_node(self, *arguments: str) -> int:
        """Start a node and return its process id."""
        return self._start("stagewalk", "node", *arguments)

    def _start(self, module: str, *arguments: str) -> int:
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stdout=self._log, stderr=subprocess.STDOUT)
        self._processes.append(process)
        return process.pid


def wait_until_answering(url: str) -> None:
    """Wait until a server answers a GET with a status below 500."""
    ends_at = time.monotonic() + READY_SECONDS
    while time.monotonic() < ends_at:
        try:
            if httpx.get(url, trust_env=False, timeout=1.0).status_code < 500:
                return
        except httpx.HTTPError:
            pass
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"{url} did not answer within {READY_SECONDS} s")
