"""python -m tests.soak [--kind K] [--seconds S] [--seeds N,N,...] [--gateways G] [--jobs J]
    [--earlier CHECKOUT].

Soaks on fresh seeds, or on given ones, several beside each other if asked to. With another commit's
checkout each start of a gateway runs either build.
"""

from __future__ import annotations

import argparse
import multiprocessing
import random
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from tests.soak.job import Job
from tests.soak.run import ENDING_GATEWAYS, GATEWAYS, ZONE_GATEWAYS, Kind

OUTPUT = Path(__file__).resolve().parents[2] / "out" / "soak"


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--kind", type=Kind, choices=list(Kind), default=Kind.ALL)
    parser.add_argument("--seconds", type=float, default=60.0, help="of faults")
    parser.add_argument("--seeds", default="", help="a fresh one if none is given")
    parser.add_argument("--gateways", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=1, help="soaks beside each other")
    parser.add_argument("--earlier", type=Path, help="a checkout of another commit to run too")
    parser.add_argument("--output", type=Path, default=OUTPUT)
    arguments = parser.parse_args()
    usual = {Kind.ENDED: ENDING_GATEWAYS, Kind.ZONES: ZONE_GATEWAYS}.get(arguments.kind, GATEWAYS)
    seeds = [int(seed) for seed in arguments.seeds.split(",") if seed]
    jobs = [
        Job(
            seed,
            arguments.seconds,
            arguments.kind,
            arguments.gateways or usual,
            arguments.output,
            arguments.earlier,
        )
        for seed in seeds or [random.SystemRandom().randrange(1_000_000)]
    ]
    return 1 if _failures(jobs, arguments.jobs) else 0


def _failures(jobs: list[Job], beside: int) -> int:
    failed = 0
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(beside, context, max_tasks_per_child=1) as pool:
        for future in as_completed([pool.submit(job.run) for job in jobs]):
            text, held = future.result()
            print(text, flush=True)
            failed += not held
    return failed


if __name__ == "__main__":
    sys.exit(main())
