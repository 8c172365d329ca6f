"""Guarantees to callers hold while the log is down or silent."""

from __future__ import annotations

import anyio
import httpx
import msgspec
import testtools

from stagewalk.gateway.ports.workers import AttemptFault
from tests.gateway.support import Site, run, until
from tests.gateway.workers.support import announcement


class LogOutageTests(testtools.TestCase):
    def test_a_planned_stop_completes_requests_while_the_log_is_down(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("a1", "a2"):
                site.workers.workers[name].answer_seconds = 1.0
            node.log.faults.down = True
            statuses: list[int] = []

            async def ask(path: str) -> None:
                statuses.append((await site.call(node, "POST", path)).status_code)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, "/ask/x")
                tasks.start_soon(ask, "/once/x")
                await anyio.sleep(0.3)
                tasks.start_soon(node.gateway.stop)
            self.assertEqual([200, 200], statuses)

        run(scenario)

    def test_requests_are_served_and_retried_while_the_log_is_silent(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            node.log.faults.silent = True
            site.workers.workers["a1"].faults = [AttemptFault.MAY_HAVE_RUN]
            answers = [await site.call(node, "GET", f"/ask/{n}") for n in range(5)]
            self.assertEqual({httpx.codes.OK}, {answer.status_code for answer in answers})

        run(scenario)

    def test_a_draining_worker_stays_unusable_after_a_log_outage(
        self,
    ) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            table = node.gateway._workers
            leaving = announcement("a1", service="app", draining=True)
            site.log.put_key(site.dialect.workers, "a1", encode_entry(leaving))

            async def applied() -> bool:
                return [w.announcement.worker for w in table.usable("app")] == ["a2"]

            await until(applied)
            node.log.faults.down = True
            await anyio.sleep(0.3)
            node.log.faults.down = False
            stale = announcement("a1", service="app")
            site.log.put_key(site.dialect.workers, "a1", encode_entry(stale))
            await anyio.sleep(1.0)
            self.assertTrue(await applied())

        run(scenario)


def encode_entry(entry: object) -> bytes:
    return msgspec.json.encode(entry)
