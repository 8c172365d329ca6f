"""One gateway process of a soak, and the builds that its starts may run."""

from __future__ import annotations

import os
import random
import re
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from stagewalk.common.identities import Address
from tests.soak.touch import TouchRecord

ROOT = Path(__file__).resolve().parents[2]
CLOCK_AHEAD = Path(__file__).resolve().parents[1] / "clock_ahead.py"
STOP_SECONDS = 15.0
_GRACE = re.compile(r"^stop_grace = (.*)$", re.MULTILINE)


class Builds:
    """The builds that gateways run: this one alone, or each start one of two, drawn anew.

    Parameters
    ----------
    earlier
        A checkout of an earlier commit; None: there is none.
    """

    def __init__(self, earlier: Path | None, seed: int) -> None:
        self._all = (ROOT,) if earlier is None else (earlier, ROOT)
        self._chooser = random.Random(seed)

    def draw(self) -> Path:
        """Return the root of the build that a start runs."""
        return self._chooser.choice(self._all)


@dataclass
class GatewayProcess:
    """One gateway, and its own way to the store."""

    name: str
    front: Address
    metrics: Address
    settings: Path
    link: str
    touch: TouchRecord
    builds: Builds
    clock_ahead_seconds: float = 0.0
    """How far the time of day is ahead in the processes that are started from now on."""
    process: subprocess.Popen[bytes] | None = None
    frozen: bool = False
    exits: list[int] = field(default_factory=list)
    _log: Path = field(init=False)
    _log_begins: int = field(default=0, init=False)
    """Size of the log when the process was started last."""

    @property
    def sound(self) -> bool:
        return self.process is not None and self.process.poll() is None and not self.frozen

    def start(self, log: Path) -> None:
        self.touch.note(self.name, "started")
        self._log = log
        self._log_begins = log.stat().st_size if log.exists() else 0
        build = self.builds.draw()
        if build != ROOT:
            self.touch.note(self.name, f"runs the build in {build.name}")
        environment = {"PATH": os.environ["PATH"], "STAGEWALK_BOOT": str(self.settings)}
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *self._program],
                cwd=build,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def _program(self) -> list[str]:
        ahead = self.clock_ahead_seconds
        wrapper = [] if ahead == 0.0 else [str(CLOCK_AHEAD), str(ahead)]
        return [*wrapper, "platform/start.py"]

    @property
    def serves(self) -> bool:
        """Whether the process that was started last has said that it serves."""
        with self._log.open("rb") as log:
            log.seek(self._log_begins)
            return b"event=gateway_started" in log.read()

    @property
    def grace_seconds(self) -> float:
        """Return the grace period of its settings."""
        found = _GRACE.search(self.settings.read_text())
        assert found is not None
        return float(found.group(1))

    def set_grace(self, seconds: float) -> None:
        """Change the grace period of its settings, for the next start."""
        text = self.settings.read_text()
        self.settings.write_text(_GRACE.sub(f"stop_grace = {seconds}", text))

    def ends_within(self, seconds: float) -> bool:
        """Wait for the process; return whether it ended in time."""
        if self.process is None:
            return True
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def signal(self, number: signal.Signals) -> None:
        if self.process is None:
            return
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.touch.set(self.name, "frozen", number == signal.SIGSTOP)
        elif number != signal.SIGHUP:
            self.touch.note(self.name, number.name)
        self.process.send_signal(number)

    def reap(self) -> int | None:
        """Wait for the end of a process that was asked or made to end."""
        if self.process is None:
            return None
        try:
            code = self.process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        self.touch.note(self.name, f"ended with {code}")
        self.process = None
        self.exits.append(code)
        return code
