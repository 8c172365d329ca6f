"""A new peak of the process's memory is logged by steps, with the state."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.gateway.peak_memory import STEP_MEGABYTES, PeakMemory


class PeakMemoryTests(testtools.TestCase):
    def write(self, *peaks_megabytes: float) -> list[dict[str, object]]:
        lines: list[dict[str, object]] = []
        peaks = [int(megabytes * 1_000) for megabytes in peaks_megabytes]

        def record_line(_event: str, _level: str, **fields: object) -> None:
            lines.append(fields)

        async def main() -> None:
            memory = PeakMemory(lambda: peaks.pop(0))
            for _ in peaks_megabytes:
                memory.write(lambda: {"batches": len(peaks)})

        with mock.patch("stagewalk.gateway.peak_memory.log_event", record_line):
            anyio.run(main)
        return lines

    def test_peaks_are_logged_by_steps(self) -> None:
        lines = self.write(50.0, 50.0 + STEP_MEGABYTES / 2, 50.0 + STEP_MEGABYTES, 70.0)
        self.assertEqual([50.0, 58.0, 70.0], [line["megabytes"] for line in lines])
        self.assertEqual([3, 1, 0], [line["batches"] for line in lines])

    def test_the_default_is_the_peak_of_this_process(self) -> None:
        lines: list[dict[str, object]] = []

        async def main() -> None:
            PeakMemory().write(lambda: {})

        with mock.patch(
            "stagewalk.gateway.peak_memory.log_event",
            lambda _event, _level, **fields: lines.append(fields),
        ):
            anyio.run(main)
        self.assertGreater(float(str(lines[0]["megabytes"])), 1.0)
