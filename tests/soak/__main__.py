"""python -m tests.soak [--seconds S] [--seeds N,N,...]: soaks on fresh seeds, or on given ones."""

from __future__ import annotations

import argparse
import random
import sys
from pathlib import Path

import anyio

from tests.soak.run import soak

OUTPUT = Path(__file__).resolve().parents[2] / "out" / "soak"


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0, help="of faults")
    parser.add_argument("--seeds", default="", help="a fresh one if none is given")
    arguments = parser.parse_args()
    given = [int(seed) for seed in arguments.seeds.split(",") if seed]
    failed = 0
    for seed in given or [random.SystemRandom().randrange(1_000_000)]:
        directory = OUTPUT / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        report = anyio.run(soak, seed, arguments.seconds, directory)
        print("\n".join(report.lines()), flush=True)
        failed += bool(report.checker.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
