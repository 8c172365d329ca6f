"""A planned stop ends within the grace period, also while the log is down."""

from __future__ import annotations

import dataclasses
from unittest import mock

import anyio
import testtools

from stagewalk.gateway.batches.records import BatchEnded
from stagewalk.gateway.settings import Timing
from stagewalk.gateway.settings_reload import LiveSettings
from tests.gateway.support import Running, Site, run

GRACE_SECONDS = 5.0


class StopTests(testtools.TestCase):
    def test_pending_appends_do_not_delay_a_stop_beyond_its_grace(self) -> None:
        """Processes must not outlive their grace period."""

        async def scenario(site: Site) -> None:
            with mock.patch("stagewalk.gateway.daemon.DRAIN_DELAY_SECONDS", 0.1):
                node = await site.start("n1")
                node.gateway._live_settings = _with_grace(node)
                for worker in site.workers.workers.values():
                    worker.answer_seconds = 1.9
                node.log.faults.down = True
                node.gateway.store.post("b1", BatchEnded("b1"))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.send_continuously, site, node)
                    tasks.start_soon(node.gateway.stop)
                    with anyio.fail_after(GRACE_SECONDS):
                        await node.ended.wait()
                    tasks.cancel_scope.cancel()

        run(scenario)

    def test_pending_appends_complete_if_the_log_recovers_within_the_grace(self) -> None:
        async def scenario(site: Site) -> None:
            with mock.patch("stagewalk.gateway.daemon.DRAIN_DELAY_SECONDS", 0.1):
                node = await site.start("n1")
                node.gateway._live_settings = _with_grace(node)
                node.log.faults.down = True
                node.gateway.store.post("b1", BatchEnded("b1"))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(node.gateway.stop)
                    await anyio.sleep(1.0)
                    node.log.faults.down = False
                    await node.ended.wait()
                self.assertTrue(node.gateway.store.idle)

        run(scenario)

    async def send_continuously(self, site: Site, node: Running) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(site.call, node, "GET", "/ask/x")
                await anyio.sleep(0.2)


def _with_grace(node: Running) -> LiveSettings:
    timing = Timing(lease_quiet=0.2, stop_grace=GRACE_SECONDS)
    return LiveSettings(dataclasses.replace(node.gateway.settings, timing=timing), None)
