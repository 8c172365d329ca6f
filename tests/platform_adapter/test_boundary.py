"""The platform's names occur only in the adapter, which the product never imports."""

from __future__ import annotations

import re
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parent.parent.parent
SOURCES = ROOT / "src"
ADAPTER = ROOT / "platform"
MAXIMUM_ADAPTER_FRACTION = 0.1

PLATFORM_NAMES = (
    r"x-response-signature",
    r"x-target-instance",
    r"x-instance-(load|id)",
    r"x-not-executed",
    r"x-weight-versions",
    r"x-expected-version",
    r"x-length-hint",
    r"x-prefix-hash",
    r"/-/",
    r"log-(append|read|newest|join|commit|trim)",
    r"keyed\.(op|servers|status)",
    r"after_rev",
    r"max_wait_s",
    r"target_latency_ms",
    r"STAGEWALK_BOOT",
    r"stagewalk_platform",
    r"fleetbench",
)


def count_lines(folder: Path) -> int:
    files = [path for path in folder.rglob("*.py") if "_pb2" not in path.name]
    return sum(len(path.read_text().splitlines()) for path in files)


class BoundaryTests(testtools.TestCase):
    def test_platform_names_do_not_occur_in_the_product(self) -> None:
        pattern = re.compile("|".join(PLATFORM_NAMES), re.IGNORECASE)
        found = [
            f"{path.relative_to(ROOT)}: {line.strip()}"
            for path in sorted(SOURCES.rglob("*.py"))
            for line in path.read_text().splitlines()
            if pattern.search(line)
        ]
        self.assertEqual([], found)

    def test_platform_names_occur_in_the_adapter(self) -> None:
        adapter = "\n".join(path.read_text() for path in ADAPTER.rglob("*.py"))
        for name in PLATFORM_NAMES[:-1]:
            if name in {r"x-prefix-hash", r"target_latency_ms"} or "join" in name:
                continue
            self.assertIsNotNone(re.search(name, adapter, re.IGNORECASE), name)

    def test_the_adapter_is_small(self) -> None:
        self.assertLess(count_lines(ADAPTER), MAXIMUM_ADAPTER_FRACTION * count_lines(SOURCES))

    def test_the_folder_does_not_shadow_the_standard_module(self) -> None:
        self.assertFalse((ADAPTER / "__init__.py").exists())
