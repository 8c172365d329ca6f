"""A request that crashes each worker that runs it stops reaching workers, at every node.

Guards against a caller that retries such a request at different nodes and so crashes all workers of
a service again and again, while other callers of the service get 503.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio
import httpx
import testtools

from stagewalk.gateway.ports.workers import AttemptFault
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.hold_rule import HELD_AFTER_CRASHES_OF_ITEM
from tests.gateway.support import HOST, Running, Site, run, until
from tests.node.running_node import free_address

CRASHING = b"crashes whoever runs it"
RESTART_SECONDS = 0.3
CALLS = 7
CRASHING_CONTENT = RequestContent("POST", HOST, "/ask/x", CRASHING)
MAXIMUM_CRASHES = 6
"""Three workers until the request is quarantined, and a tolerance of three more."""


class Restarts:
    """Restarts crashed workers after a delay, under new identities."""

    def __init__(self, site: Site, tasks: anyio.abc.TaskGroup) -> None:
        self._site = site
        self._tasks = tasks
        self._starts = 0
        site.workers.crashing.add(CRASHING)
        site.workers.on_crash = lambda worker: tasks.start_soon(self._restart, worker)

    async def _restart(self, worker: str) -> None:
        await anyio.sleep(RESTART_SECONDS)
        self._site.log.drop_key(self._site.dialect.workers, worker)
        self._starts += 1
        name = f"{worker.partition('.')[0]}.{self._starts}"
        service = "engines" if worker.startswith("e") else "app"
        self._site.add_worker(name, service)
        workers = self._site.workers.workers
        workers[name].answer_seconds = workers[worker].answer_seconds


async def call_with_retry(
    site: Site, nodes: list[Running], number: int, path: str = "/ask/x"
) -> int:
    """Send the request to a node, and again to the next node if the first call fails."""
    first, second = nodes[number % len(nodes)], nodes[(number + 1) % len(nodes)]
    answer = await site.call(first, "POST", path, CRASHING, stagewalk_request_id=f"v{number}")
    if answer.status_code != httpx.codes.OK:
        retry = f"v{number}-again"
        answer = await site.call(second, "POST", path, CRASHING, stagewalk_request_id=retry)
    return answer.status_code


async def until_served(site: Site, nodes: list[Running], path: str = "/ask/x") -> None:
    """Wait until all nodes serve other requests of the service."""

    async def served() -> bool:
        answers = [await site.call(node, "POST", path, b"harmless") for node in nodes]
        return all(answer.status_code == httpx.codes.OK for answer in answers)

    await until(served)


async def until_quarantined(
    site: Site, nodes: list[Running], digest: str = CRASHING_CONTENT.digest
) -> None:
    """Wait until all nodes have the request in quarantine."""

    async def known() -> bool:
        return all(
            digest in {held.content for held in node.gateway._crashes.quarantined_contents()}
            for node in nodes
        )

    await until(known)


async def _is(condition: bool) -> bool:
    return condition


def scenario(
    body: Callable[[Site, list[Running]], Awaitable[None]], nodes: int = 2, workers: int = 3
) -> None:
    """Run a test with gateways and with workers that are restarted after a crash."""

    async def main(site: Site) -> None:
        async with anyio.create_task_group() as tasks:
            Restarts(site, tasks)
            for n in range(3, workers + 1):
                site.add_worker(f"a{n}", "app")
                site.add_worker(f"e{n}", "engines")
            await body(site, [await site.start(f"n{n + 1}") for n in range(nodes)])
            tasks.cancel_scope.cancel()

    run(main)


class CrashingRequestTests(testtools.TestCase):
    def test_a_request_that_crashed_three_workers_is_sent_by_no_node(self) -> None:
        async def scenario(site: Site) -> None:
            async with anyio.create_task_group() as tasks:
                Restarts(site, tasks)
                site.add_worker("a3", "app")
                nodes = [await site.start(name) for name in ("n1", "n2", "n3")]
                for number in range(CALLS):
                    await call_with_retry(site, nodes, number)
                    await until_served(site, nodes)
                self.assertLessEqual(len(site.workers.crashes), MAXIMUM_CRASHES)

        run(scenario)

    def test_a_node_that_started_after_the_crashes_does_not_send_it_either(self) -> None:
        async def scenario(site: Site) -> None:
            async with anyio.create_task_group() as tasks:
                Restarts(site, tasks)
                site.add_worker("a3", "app")
                nodes = [await site.start(name) for name in ("n1", "n2")]
                for number in range(3):
                    await call_with_retry(site, nodes, number)
                    await until_served(site, nodes)
                crashes = len(site.workers.crashes)
                late = await site.start("n3")
                answer = await site.call(late, "POST", "/ask/x", CRASHING)
                self.assertEqual(503, answer.status_code)
                self.assertEqual(crashes, len(site.workers.crashes))

        run(scenario)

    def test_an_immediate_retry_is_judged_with_the_crashes_of_the_last_call(self) -> None:
        """Nodes read reports every 0.8 s; a suspected request is sent only after another read."""

        async def body(site: Site, nodes: list[Running]) -> None:
            await call_with_retry(site, nodes, 0)
            await until_served(site, nodes)
            crashes = len(site.workers.crashes)
            for number in range(1, 5):
                await call_with_retry(site, nodes, number)
            self.assertEqual(crashes + 1, len(site.workers.crashes))

        scenario(body)

    def test_a_quarantined_request_gets_503_with_retry_after_at_once(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            for number in range(2):
                await call_with_retry(site, nodes, number)
                await until_served(site, nodes)
            reached = len(site.workers.log)
            answer = await site.call(nodes[0], "POST", "/ask/x", CRASHING)
            self.assertEqual(503, answer.status_code)
            self.assertGreaterEqual(float(answer.headers["retry-after"]), 10.0)
            self.assertEqual(reached, len(site.workers.log))

        scenario(body)

    def test_a_call_that_crashed_a_worker_is_not_answered_as_not_run(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            answer = await site.call(nodes[0], "POST", "/once/x", CRASHING)
            self.assertEqual(502, answer.status_code)
            self.assertNotIn("retry-after", answer.headers)

        scenario(body)

    def test_requests_with_one_attempt_per_call_are_detected_too(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            for number in range(6):
                await call_with_retry(site, nodes, number, "/once/x")
                await until_served(site, nodes)
            self.assertLessEqual(len(site.workers.crashes), 4)

        scenario(body)

    def test_streams_and_their_resumptions_are_detected_too(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            for number in range(6):
                await call_with_retry(site, nodes, number, "/resume/x")
                await until_served(site, nodes, "/stream/y")
            self.assertLessEqual(len(site.workers.crashes), MAXIMUM_CRASHES)
            resumed = await site.call(
                nodes[0], "POST", "/resume/x", CRASHING, stagewalk_last_event="2"
            )
            self.assertEqual(503, resumed.status_code)

        scenario(body)

    def test_an_item_stops_reaching_engines_and_its_batch_goes_on(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            site.workers.crashing.add(b"body bad")
            await site.submit(nodes[0], "b1", "bad", "good")
            await site.until_listed(nodes[0], "b1", 1)

            async def found() -> bool:
                return len(site.workers.crashes) >= HELD_AFTER_CRASHES_OF_ITEM

            await until(found)
            await anyio.sleep(4 * RESTART_SECONDS)
            self.assertEqual(HELD_AFTER_CRASHES_OF_ITEM, len(site.workers.crashes))
            self.assertEqual(["good"], await site.results(nodes[0], "b1"))

        scenario(body)

    def test_an_item_submitted_again_in_another_batch_is_not_sent_to_engines(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            site.workers.crashing.add(b"body bad")
            await site.submit(nodes[0], "b1", "bad")
            content = RequestContent("POST", HOST, "/run/bad", b"body bad")
            await until_quarantined(site, nodes, content.digest)

            async def found() -> bool:
                return len(site.workers.crashes) >= HELD_AFTER_CRASHES_OF_ITEM

            await until(found)
            await until_served(site, nodes, "/stream/y")
            await site.submit(nodes[1], "b2", "bad", "good")
            await site.until_listed(nodes[1], "b2", 1)
            self.assertEqual(HELD_AFTER_CRASHES_OF_ITEM, len(site.workers.crashes))

        scenario(body)

    def test_a_score_call_stops_reaching_workers(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            site.workers.crashing.add(b"judge")
            await site.submit(nodes[0], "b1", "x", scored_by="/score/x")

            call = RequestContent("POST", HOST, "/score/x", b"judge")
            await until_quarantined(site, nodes, call.digest)
            await until_served(site, nodes)
            crashes = len(site.workers.crashes)
            self.assertLessEqual(crashes, MAXIMUM_CRASHES)
            await anyio.sleep(4 * RESTART_SECONDS)
            self.assertEqual(crashes, len(site.workers.crashes))

        scenario(body)

    def test_a_node_cut_off_from_the_log_learns_of_crashes_through_others(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            cut = nodes[1]

            async def known() -> bool:
                answer = await site.call(cut, "GET", "/v1/resolve")
                return answer.is_success and len(answer.json()["addresses"]) == 2

            await until(known)
            cut.log.faults.down = True
            for number in (0, 2):
                await call_with_retry(site, nodes[:1], number)
                await until_served(site, nodes[:1])
            await until_quarantined(site, nodes)
            crashes = len(site.workers.crashes)
            answer = await site.call(cut, "POST", "/ask/x", CRASHING)
            self.assertEqual(503, answer.status_code)
            self.assertEqual(crashes, len(site.workers.crashes))

        scenario(body)

    def test_while_the_log_is_down_a_suspected_request_is_refused_after_its_first_call(
        self,
    ) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            (node,) = nodes
            node.log.faults.down = True
            await site.call(node, "POST", "/once/x", CRASHING)
            await until_served(site, nodes)
            answer = await site.call(node, "POST", "/once/x", CRASHING)
            self.assertEqual(503, answer.status_code)
            self.assertEqual(1, len(site.workers.crashes))

        scenario(body, nodes=1)

    def test_while_the_log_is_down_an_innocent_request_is_served_by_its_second_attempt(
        self,
    ) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            (node,) = nodes
            node.log.faults.down = True
            for worker in site.workers.workers.values():
                worker.answer_seconds = 0.06
            answers: list[int] = []

            async def ask() -> None:
                answers.append((await site.call(node, "POST", "/ask/y", b"unlucky")).status_code)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await until(lambda: _is(any(w.running for w in site.workers.workers.values())))
                (busy,) = [n for n, w in site.workers.workers.items() if w.running]
                site.workers.crash(busy)
            self.assertEqual([200], answers)

        scenario(body, nodes=1)

    def test_crash_reports_are_published_once_the_log_is_up_again(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            for node in nodes:
                node.log.faults.down = True
            await call_with_retry(site, nodes[:1], 0)
            await until_served(site, nodes)
            for node in nodes:
                node.log.faults.down = False

            async def learnt() -> bool:
                return nodes[1].gateway._crashes.known_crashes(CRASHING_CONTENT) > 0

            await until(learnt)

        scenario(body)

    def test_a_crash_without_a_closed_connection_is_detected_by_the_workers_entry(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            site.workers.silent_crashes = True
            answer = await site.call(
                nodes[0], "POST", "/once/x", CRASHING, stagewalk_deadline_milliseconds="100"
            )
            self.assertEqual(504, answer.status_code)

            async def learnt() -> bool:
                content = replace(CRASHING_CONTENT, target="/once/x")
                return all(node.gateway._crashes.known_crashes(content) == 1 for node in nodes)

            await until(learnt)

        scenario(body)


async def running_worker(site: Site) -> str:
    """Wait until a worker runs a request; return its name."""

    async def running() -> bool:
        return any(worker.running for worker in site.workers.workers.values())

    await until(running)
    return next(name for name, worker in site.workers.workers.items() if worker.running)


class InnocentRequestTests(testtools.TestCase):
    def test_a_request_that_did_not_cause_the_crashes_is_served_and_cleared(self) -> None:
        """Workers crash while they run it, and each time it is answered at its next call."""

        async def body(site: Site, nodes: list[Running]) -> None:
            for worker in site.workers.workers.values():
                worker.answer_seconds = 0.2
            for _ in range(4):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(site.call, nodes[0], "POST", "/once/y", b"popular")
                    site.workers.crash(await running_worker(site))
                await until_served(site, nodes, "/once/z")
                self.assertEqual(
                    200, (await site.call(nodes[1], "POST", "/once/y", b"popular")).status_code
                )

            async def forgotten() -> bool:
                return all(node.gateway._crashes.suspects == 0 for node in nodes)

            await until(forgotten)

        scenario(body)

    def test_workers_that_crash_at_the_same_time_count_once(self) -> None:
        """As in a power loss of a rack whose workers all run the same popular request."""

        async def body(site: Site, nodes: list[Running]) -> None:
            apps = ("a1", "a2", "a3")
            for name in apps:
                site.workers.workers[name].answer_seconds = 0.3
            async with anyio.create_task_group() as tasks:
                for n in range(9):
                    tasks.start_soon(site.call, nodes[n % 2], "POST", "/once/y", b"popular")
                await anyio.sleep(0.2)
                running = [name for name in apps if site.workers.workers[name].running]
                for name in apps:
                    site.workers.crash(name)
            self.assertEqual(3, len(running))
            popular = replace(CRASHING_CONTENT, target="/once/y", body=b"popular")
            for node in nodes:
                self.assertEqual(1, node.gateway._crashes.known_crashes(popular))
            await until_served(site, nodes, "/once/z")
            answer = await site.call(nodes[0], "POST", "/once/y", b"popular")
            self.assertEqual(200, answer.status_code)

        scenario(body)

    def test_a_worker_that_left_without_draining_has_not_crashed(self) -> None:
        """It drops its entry, finishes requests under way, and then closes its connections."""

        async def body(site: Site, nodes: list[Running]) -> None:
            for name in ("a2", "a3"):
                site.log.drop_key(site.dialect.workers, name)
            await until_served(site, nodes)
            site.workers.workers["a1"].answer_seconds = 2.0

            async def left() -> bool:
                return nodes[0].gateway._workers.worker("a1") is None

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(site.call, nodes[0], "POST", "/once/y", b"unlucky")
                await anyio.sleep(0.1)
                site.log.drop_key(site.dialect.workers, "a1")
                await until(left)
                self.assertEqual(1, site.workers.workers["a1"].running)
                site.workers.crash("a1")
            self.assertEqual(0, nodes[0].gateway._crashes.suspects)

        scenario(body)

    def test_a_broken_answer_of_a_worker_that_is_alive_is_no_crash(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            for name in ("a1", "a2", "a3"):
                site.workers.workers[name].faults = [AttemptFault.MAY_HAVE_RUN] * 6
            for _ in range(6):
                await site.call(nodes[0], "POST", "/ask/y", b"unlucky")
            self.assertEqual(0, nodes[0].gateway._crashes.suspects)
            for name in ("a1", "a2", "a3"):
                site.workers.workers[name].faults.clear()
            answer = await site.call(nodes[0], "POST", "/ask/y", b"unlucky")
            self.assertEqual(200, answer.status_code)

        scenario(body)


class OperatorTests(testtools.TestCase):
    def test_operators_list_and_clear_the_quarantine_at_the_metrics_address(self) -> None:
        async def body(site: Site, nodes: list[Running]) -> None:
            metrics = free_address()
            watched = await site.start("n9", metrics=metrics)
            everywhere = [*nodes, watched]
            for number in range(2):
                await call_with_retry(site, nodes, number)
                await until_served(site, nodes)
            await until_quarantined(site, everywhere)
            operators = replace(watched, url=f"http://{metrics}")
            (held,) = (await site.call(operators, "GET", "/held-requests")).json()
            self.assertEqual(CRASHING_CONTENT.digest, held["content"])
            path = f"/held-requests/{CRASHING_CONTENT.digest}"
            self.assertEqual(404, (await site.call(watched, "DELETE", path)).status_code)
            self.assertEqual(200, (await site.call(operators, "DELETE", path)).status_code)
            self.assertEqual(404, (await site.call(operators, "DELETE", path)).status_code)

            async def cleared() -> bool:
                return all(node.gateway._crashes.suspects == 0 for node in everywhere)

            await until(cleared)
            site.workers.crashing.clear()
            answer = await site.call(nodes[0], "POST", "/ask/x", CRASHING)
            self.assertEqual(200, answer.status_code)

        scenario(body)
