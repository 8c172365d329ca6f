"""Gateways as separate processes, started with the run command of the deploy file."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
GRACE_SECONDS = 8.0

SETTINGS = """
name = "{name}"
region = "new-england"
zone = "hall-north"

[listen]
front = "{front}"
readiness = "{front}"
directory = "{front}"
peers = "{peers}"

[log]
address = "{store}"

[log.limits]
record_bytes = 262144
call_bytes = 2097152
partitions = 12

[timing]
lease_quiet = 3000e-3
stop_grace = 8
batch_end = 3000e-3

[processor]
share = 0.717
speed = 3

[memory]
limit_mb = 360

[zones]
"hall-north" = "new-england"
"""
"""What `deploy/settings.toml` gives for a machine of a small deployment."""


def free_address() -> str:
    """Return a free loopback address."""
    with socket.create_server((HOST, 0)) as probe:
        return f"{HOST}:{probe.getsockname()[1]}"


def deployed_command() -> list[str]:
    """Return the run command of the deploy file."""
    deployed = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deployed["roles"]["gateway"]["run"].split(" ")


def is_built() -> bool:
    """Whether the deploy file's build has been run."""
    return any((ROOT / "target" / "deps").glob("hypercorn*"))


@dataclass
class Gateway:
    """One gateway process, on addresses of its own."""

    name: str
    folder: Path
    store: str
    front: str = field(default_factory=free_address)
    _process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> Path:
        """Return the file with its output."""
        return self.folder / f"{self.name}.log"

    @property
    def exit_code(self) -> int | None:
        """Return the process's exit code, None while it runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start the process."""
        settings = self.folder / f"{self.name}.toml"
        peers = free_address()
        settings.write_text(
            SETTINGS.format(name=self.name, front=self.front, peers=peers, store=self.store)
        )
        environment = {"PATH": os.environ["PATH"], "STAGEWALK_BOOT": str(settings)}
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                deployed_command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self._process is not None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs, and reap it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
