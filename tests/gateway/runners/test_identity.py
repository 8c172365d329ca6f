"""A process whose incarnation is raised after its start runs what is assigned to it."""

from __future__ import annotations

import time
from unittest import mock

import anyio
import testtools

from tests.gateway.support import Site, run

AHEAD_NANOSECONDS = 1_000 * 1_000_000_000
"""How far the clock was ahead when the earlier process started."""


class RaisedIncarnationTests(testtools.TestCase):
    def test_a_process_that_starts_after_its_clock_came_back_runs_its_batches(self) -> None:
        """It took its own claims for another process's, and opened no batch assigned to it."""

        async def scenario(site: Site) -> None:
            now = time.time_ns
            with mock.patch(
                "stagewalk.gateway.assembly.time.time_ns", lambda: now() + AHEAD_NANOSECONDS
            ):
                earlier = await site.start("n1")
            earlier.scope.cancel()
            await earlier.ended.wait()
            later = await site.start("n1")
            identity = later.gateway._identity
            self.assertGreater(identity.incarnation, now() // 1_000_000)
            await site.submit(later, "b1", "x", "y")
            with anyio.fail_after(10.0):
                self.assertEqual({"x", "y"}, set(await site.until_listed(later, "b1", 2)))

        run(scenario)
