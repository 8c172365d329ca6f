"""One soak in a process of its own, with its logs and its report in a folder of its own."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

import anyio

from tests.soak import world
from tests.soak.run import Kind, soak


@dataclass(frozen=True)
class Job:
    seed: int
    seconds: float
    kind: Kind
    gateways: int
    output: Path
    earlier: Path | None = None

    def run(self) -> tuple[str, bool]:
        """Run it in this process; return its report and whether all promises held."""
        world.use_loopback_number(os.getpid())
        directory = self.output / str(self.seed)
        directory.mkdir(parents=True, exist_ok=True)
        for log in directory.glob("*.log"):
            log.unlink()
        report = anyio.run(
            soak, self.seed, self.seconds, directory, self.gateways, self.kind, self.earlier
        )
        text = "\n".join(report.lines())
        (directory / "report.txt").write_text(text + "\n")
        (directory / "troubles.txt").write_text("\n".join(report.troubles) + "\n")
        late = "".join(f"{arrival.line()}\n" for arrival in report.ended.late)
        (directory / "late.txt").write_text(late)
        return text, not report.checker.violations
