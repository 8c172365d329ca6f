"""python tests/soak/clock_ahead.py SECONDS: runs the gateway with its time of day ahead.

Started in the folder of the build to run, in place of its platform/start.py. The machine's clock
stays as it is.
"""

from __future__ import annotations

import runpy
import sys
import time
from pathlib import Path

NANOSECONDS = 1_000_000_000

if __name__ == "__main__":
    ahead = int(float(sys.argv[1]) * NANOSECONDS)
    true_time_ns = time.time_ns
    time.time_ns = lambda: true_time_ns() + ahead
    time.time = lambda: (true_time_ns() + ahead) / NANOSECONDS
    start = Path("platform/start.py").resolve()
    sys.path[0] = str(start.parent)
    runpy.run_path(str(start), run_name="__main__")
