"""Starts, stops and kills the child processes of a demonstration."""

from __future__ import annotations

import signal
import subprocess
from dataclasses import dataclass
from pathlib import Path

STOP_TIMEOUT_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class ProcessSpecification:
    """A process to run: `command` is the whole argument vector."""

    name: str
    command: tuple[str, ...]


@dataclass(slots=True)
class _RunningProcess:
    specification: ProcessSpecification
    handle: subprocess.Popen[bytes]


class ProcessGroup:
    """Processes that this demonstration started; their output goes to `directory/NAME.log`."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._running: dict[str, _RunningProcess] = {}
        self.killed: list[str] = []
        self.bad_exits: dict[str, int] = {}

    def start(self, specification: ProcessSpecification) -> None:
        """Start a process; its output is appended to its log file."""
        with (self._directory / f"{specification.name}.log").open("ab") as log:
            handle = subprocess.Popen(
                specification.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._running[specification.name] = _RunningProcess(specification, handle)

    def kill(self, name: str) -> ProcessSpecification:
        """Kill a process at once (SIGKILL) and return its specification."""
        process = self._running.pop(name)
        process.handle.kill()
        process.handle.wait()
        self.killed.append(name)
        return process.specification

    def specification(self, name: str) -> ProcessSpecification:
        """Return the specification of a running process."""
        return self._running[name].specification

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a running process a signal, such as `SIGSTOP` and `SIGCONT`."""
        self._running[name].handle.send_signal(number)

    def request_stop(self, name: str) -> None:
        """Request a graceful stop of a process (SIGTERM)."""
        self._running[name].handle.terminate()

    def wait(self, name: str, timeout_seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait for a process to end and return its exit code; kill it past the timeout."""
        process = self._running.pop(name)
        try:
            exit_code = process.handle.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            process.handle.kill()
            exit_code = process.handle.wait()
        if exit_code != 0:
            self.bad_exits[name] = exit_code
        return exit_code

    def stop(self, names: list[str]) -> None:
        """Stop processes gracefully and concurrently."""
        present = [name for name in names if name in self._running]
        for name in present:
            self.request_stop(name)
        for name in present:
            self.wait(name)

    def running(self) -> list[str]:
        """Return the names of processes that were started and not stopped."""
        return list(self._running)

    def collect_unexpected_exits(self) -> list[str]:
        """Remove processes that have exited; return the names of those that failed."""
        ended = []
        for name, process in list(self._running.items()):
            exit_code = process.handle.poll()
            if exit_code is None:
                continue
            del self._running[name]
            if exit_code != 0:
                self.bad_exits[name] = exit_code
                ended.append(name)
        return ended

    def kill_all(self) -> None:
        """Kill all running processes."""
        for process in self._running.values():
            process.handle.kill()
        for process in self._running.values():
            process.handle.wait()
        self._running.clear()
