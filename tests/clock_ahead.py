"""python tests/clock_ahead.py SECONDS PROGRAM [ARGUMENT...]: runs a program with its time of day
ahead.

PROGRAM is a path, or -m and a module. The machine's clock stays as it is.
"""

from __future__ import annotations

import runpy
import sys
import time
from pathlib import Path

NANOSECONDS = 1_000_000_000


def set_ahead(seconds: float) -> None:
    """Put this process's time of day ahead."""
    ahead = int(seconds * NANOSECONDS)
    true_time_ns = time.time_ns
    time.time_ns = lambda: true_time_ns() + ahead
    time.time = lambda: (true_time_ns() + ahead) / NANOSECONDS


def run_program(program: list[str]) -> None:
    """Run a program as the interpreter would."""
    if program[0] == "-m":
        sys.path[0] = ""
        sys.argv = program[1:]
        runpy.run_module(program[1], run_name="__main__", alter_sys=True)
    else:
        path = Path(program[0]).resolve()
        sys.path[0] = str(path.parent)
        sys.argv = program
        runpy.run_path(str(path), run_name="__main__")


if __name__ == "__main__":
    set_ahead(float(sys.argv[1]))
    run_program(sys.argv[2:])
