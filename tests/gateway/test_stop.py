"""A planned stop ends within its grace, also while the log takes nothing."""

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
    def test_records_that_the_log_does_not_take_hold_up_no_stop(self) -> None:
        """Seen on rahguzar-lhr-grown trouble-1: three processes outlived their grace."""

        async def scenario(site: Site) -> None:
            with mock.patch("stagewalk.gateway.daemon.DRAIN_DELAY_SECONDS", 0.1):
                node = await site.start("n1")
                node.gateway._live_settings = _with_grace(node)
                for worker in site.workers.workers.values():
                    worker.answer_seconds = 1.9
                node.log.faults.down = True
                node.gateway.store.post("b1", BatchEnded("b1"))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.keep_asking, site, node)
                    tasks.start_soon(node.gateway.stop)
                    with anyio.fail_after(GRACE_SECONDS):
                        await node.ended.wait()
                    tasks.cancel_scope.cancel()

        run(scenario)

    def test_a_log_that_comes_back_within_the_grace_gets_what_was_to_be_kept(self) -> None:
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

    async def keep_asking(self, site: Site, node: Running) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(site.call, node, "GET", "/ask/x")
                await anyio.sleep(0.2)


def _with_grace(node: Running) -> LiveSettings:
    timing = Timing(lease_quiet=0.2, stop_grace=GRACE_SECONDS)
    return LiveSettings(dataclasses.replace(node.gateway.settings, timing=timing), None)
