"""Workers that restart under the same name."""

from __future__ import annotations

import testtools

from tests.gateway.support import Site, run, until


class WorkerRestartTests(testtools.TestCase):
    def test_a_worker_that_left_is_used_again_after_a_restart(self) -> None:
        async def scenario(site: Site) -> None:
            for name in ("a1", "a2"):
                site.log.drop_key(site.dialect.workers, name)
            site.add_worker("a3", "app", born=1_000)
            node = await site.start("n1")
            site.add_worker("a3", "app", born=1_000, draining=True)

            async def answered(status: int) -> bool:
                return (await site.call(node, "GET", "/ask/x")).status_code == status

            await until(lambda: answered(503))
            site.log.drop_key(site.dialect.workers, "a3")
            site.add_worker("a3", "app", born=9_000)
            await until(lambda: answered(200))

        run(scenario)

    def test_an_item_resumes_after_its_engine_restarted_and_leaves_none_in_flight(self) -> None:
        async def scenario(site: Site) -> None:
            for name in ("e1", "e2"):
                site.log.drop_key(site.dialect.workers, name)
            site.add_worker("e3", "engines", born=1_000)
            first = site.workers.workers["e3"]
            first.event_seconds = 0.2
            node = await site.start("n1")
            await site.submit(node, "b1", "x")
            await until(lambda: _as_async(site.workers.arrivals["x"] > 0))
            site.workers.crash("e3")
            site.add_worker("e3", "engines", born=9_000)
            self.assertEqual(["x"], await site.until_listed(node, "b1", 1))
            (engine,) = [
                worker
                for worker in node.gateway._workers.all()
                if worker.announcement.listed_as == "e3"
            ]
            self.assertEqual("e3@9000", engine.announcement.worker)
            self.assertEqual(0, engine.in_flight)

        run(scenario)

    def test_a_restarted_engine_is_ordered_to_the_named_version_again(self) -> None:
        async def scenario(site: Site) -> None:
            for name in ("e1", "e2"):
                site.log.drop_key(site.dialect.workers, name)
            site.add_worker("e3", "engines", born=1_000)
            await site.start("n1")
            site.name_version(2)
            await until(lambda: _as_async(site.workers.workers["e3"].versions["m"] == 2))
            site.add_worker("e3", "engines", born=9_000)
            await until(lambda: _as_async(site.workers.workers["e3"].versions["m"] == 2))

        run(scenario)

    def test_crashes_of_restarted_workers_are_counted_separately(self) -> None:
        """Crashes must be counted per process, or the crashing request is never quarantined."""

        async def scenario(site: Site) -> None:
            for name in ("a1", "a2"):
                site.log.drop_key(site.dialect.workers, name)
            node = await site.start("n1")
            body = b"crashes it"
            site.workers.crashing.add(body)
            for born in range(1_000, 9_000, 1_000):
                site.add_worker("a3", "app", born=born)

                async def reached() -> bool:
                    answer = await site.call(node, "POST", "/ask/x", b"harmless")
                    return answer.status_code == 200

                await until(reached)
                await site.call(node, "POST", "/ask/x", body)
            self.assertEqual(5, len(site.workers.crashes))

        run(scenario)

    def test_a_worker_with_an_invalid_entry_gets_no_requests(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            site.log.put_key(site.dialect.workers, "a1", b"no entry")

            async def only_other() -> bool:
                answers = [await site.call(node, "GET", "/ask/x") for _ in range(4)]
                return all(answer.headers.get("x-worker") == "a2" for answer in answers)

            await until(only_other)
            late = await site.start("n2")
            answers = [await site.call(late, "GET", "/ask/x") for _ in range(4)]
            self.assertEqual({"a2"}, {answer.headers["x-worker"] for answer in answers})
            site.add_worker("a1", "app")
            site.log.drop_key(site.dialect.workers, "a2")

            async def back() -> bool:
                answers = [await site.call(node, "GET", "/ask/x") for _ in range(4)]
                return all(answer.headers.get("x-worker") == "a1" for answer in answers)

            await until(back)

        run(scenario)


async def _as_async(condition: bool) -> bool:
    return condition
