"""Runs tests with a fixed seed, prints failures, and writes the counts to out/test-counts.

    python -m tests.runner [--folders FOLDER,... | --without FOLDER,...] [--part I/N]
        [--counts FILE] [PATTERN]

A test listed in KNOWN-RED.txt (one line each: test id, cause, issue) may fail without failing
the run; it is printed. A listed test that passes fails the run, so that the list stays true.
"""

from __future__ import annotations

import argparse
import faulthandler
import sys
import time
import unittest
import zlib
from collections.abc import Iterator
from pathlib import Path

from hypothesis import settings

ROOT = Path(__file__).resolve().parent.parent
SLOWEST_SHOWN = 10
HUNG_AFTER_SECONDS = 240
"""A test that takes this long hangs: its stack is printed and the run fails."""


def known_red() -> set[str]:
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {line.split(":")[0].strip() for line in path.read_text().splitlines() if line.strip()}


class TimedResult(unittest.TextTestResult):
    def startTest(self, test: unittest.TestCase) -> None:
        super().startTest(test)
        faulthandler.dump_traceback_later(HUNG_AFTER_SECONDS, exit=True)
        self._began = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:
        super().stopTest(test)
        faulthandler.cancel_dump_traceback_later()
        DURATIONS.append((time.monotonic() - self._began, test.id()))


DURATIONS: list[tuple[float, str]] = []


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("pattern", nargs="?", default="test_*.py", help="of file names")
    parser.add_argument("--folders", default="", help="run only these folders of tests/")
    parser.add_argument("--without", default="", help="leave these folders of tests/ out")
    parser.add_argument("--part", default="1/1", help="the I-th of N parts, of whole modules")
    parser.add_argument("--counts", type=Path, default=ROOT / "out" / "test-counts")
    return parser.parse_args()


def load_tests(arguments: argparse.Namespace) -> unittest.TestSuite:
    left_out = set(filter(None, arguments.without.split(",")))
    folders = sorted(path.parent.name for path in (ROOT / "tests").glob("*/__init__.py"))
    wanted = arguments.folders.split(",") if arguments.folders else folders
    suite = unittest.TestSuite()
    for folder in wanted:
        if folder not in left_out:
            start = str(ROOT / "tests" / folder)
            suite.addTests(unittest.TestLoader().discover(start, arguments.pattern, str(ROOT)))
    return part_of(suite, arguments.part)


def part_of(suite: unittest.TestSuite, part: str) -> unittest.TestSuite:
    """Return one of several parts that together hold each test once."""
    number, parts = map(int, part.split("/"))
    if not 1 <= number <= parts:
        raise SystemExit(f"no part {part}")
    chosen = unittest.TestSuite()
    for test in flatten(suite):
        if zlib.crc32(test.__class__.__module__.encode()) % parts == number - 1:
            chosen.addTest(test)
    return chosen


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Return the tests of a suite and the suites in it."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from flatten(test)
        else:
            yield test


def main() -> int:
    arguments = parse_arguments()
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    suite = load_tests(arguments)
    result = unittest.TextTestRunner(verbosity=1, resultclass=TimedResult).run(suite)
    broken = {test.id() for test, _ in (*result.failures, *result.errors)}
    listed = known_red()
    for test_id in sorted(broken & listed):
        print(f"KNOWN RED: {test_id}")
    ran = {test_id for _, test_id in DURATIONS}
    wrongly_listed = (listed & ran) - broken
    for test_id in sorted(wrongly_listed):
        print(f"LISTED IN KNOWN-RED.txt BUT PASSES: {test_id}")
    for duration, test_id in sorted(DURATIONS, reverse=True)[:SLOWEST_SHOWN]:
        print(f"{duration:8.2f} s  {test_id}")
    failed = len(broken - listed) + len(wrongly_listed) + len(result.unexpectedSuccesses)
    if result.testsRun == 0:
        failed += 1
    passed = max(0, result.testsRun - len(broken) - len(wrongly_listed))
    arguments.counts.parent.mkdir(exist_ok=True)
    arguments.counts.write_text(f"{passed} {failed}")
    return 0 if failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
