"""Forwarded requests, directory lookups, configuration and version orders, end to end."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.gateway.ports.workers import AttemptFault
from stagewalk.gateway.routes.route import CallerLimits, RouteKind
from tests.gateway.support import ROUTES, Site, route, run, until


class RequestTests(testtools.TestCase):
    def test_target_and_body_arrive_unaltered(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            path = "/ask/a%20b?q=%C3%A4&r=1"
            answer = await site.call(node, "POST", path, b"\x00body", stagewalk_request_id="q1")
            self.assertEqual(path.encode() + b" \x00body", answer.content)
            self.assertEqual(200, answer.status_code)

        run(scenario)

    def test_a_repeatable_request_is_retried_if_a_worker_breaks_off(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("a1", "a2"):
                site.workers.workers[name].faults = [AttemptFault.MAY_HAVE_RUN]
            site.workers.workers["a2"].faults = []
            answer = await site.call(node, "GET", "/ask/x", stagewalk_request_id="q1")
            self.assertEqual(200, answer.status_code)

        run(scenario)

    def test_a_nonrepeatable_request_that_may_have_run_is_not_retried(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("a1", "a2"):
                site.workers.workers[name].faults = [AttemptFault.MAY_HAVE_RUN]
            answer = await site.call(node, "POST", "/once/x", stagewalk_request_id="q1")
            self.assertEqual(502, answer.status_code)
            self.assertEqual(1, site.workers.arrivals["q1"])

        run(scenario)

    def test_published_limits_of_head_and_body_apply_once_in_force(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            answer = await site.call(node, "POST", "/ask/x", b"b" * 5_000, filler="h" * 5_000)
            self.assertEqual(200, answer.status_code)
            site.publish(2, limits=CallerLimits(header_bytes=2_000, body_bytes=1_000))

            async def in_force() -> bool:
                return (await site.call(node, "POST", "/ask/x", b"b" * 1_001)).status_code == 413

            await until(in_force)
            answer = await site.call(node, "POST", "/ask/x", filler="h" * 2_000)
            self.assertEqual(431, answer.status_code)
            answer = await site.call(node, "POST", "/ask/x", b"b" * 1_000, filler="h" * 1_000)
            self.assertEqual(200, answer.status_code)

        run(scenario)

    def test_a_request_that_no_worker_ran_is_refused_with_retry_after(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("a1", "a2"):
                site.workers.workers[name].faults = [AttemptFault.NOT_RUN]
            answer = await site.call(node, "POST", "/once/x", stagewalk_request_id="q1")
            self.assertEqual(503, answer.status_code)
            self.assertIn("retry-after", answer.headers)

        run(scenario)

    def test_a_request_at_a_slow_worker_is_hedged(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            site.workers.workers["a1"].answer_seconds = 1.5
            for number in range(4):
                answer = await site.call(node, "GET", "/ask/x", stagewalk_request_id=f"q{number}")
                self.assertEqual("a2", answer.headers["x-worker"])

        run(scenario)

    def test_a_callers_disconnect_cancels_the_attempt_at_the_worker(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("a1", "a2"):
                site.workers.workers[name].answer_seconds = 1.5
            with anyio.move_on_after(0.3):
                await site.call(node, "POST", "/once/x", stagewalk_request_id="q1")
            await until(lambda: _as_async(site.workers.cancelled == 1))

        run(scenario)

    def test_a_request_past_its_deadline_is_ended(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for name in ("a1", "a2"):
                site.workers.workers[name].answer_seconds = 9.0
            answer = await site.call(node, "POST", "/once/x", stagewalk_deadline_milliseconds="200")
            self.assertEqual(504, answer.status_code)

        run(scenario)

    def test_a_node_without_configuration_replies_503_and_not_404(self) -> None:
        async def scenario(site: Site) -> None:
            site.log.drop_key(site.dialect.operators, "configuration")
            node = await site.start("n1", ready=False)

            async def answered() -> bool:
                return (await site.call(node, "GET", "/ask/x")).status_code == 503

            await until(answered)
            self.assertFalse(await site.ready(node))

        run(scenario)

    def test_an_unknown_route_is_rejected_until_a_new_configuration_has_it(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            self.assertEqual(404, (await site.call(node, "GET", "/new/x")).status_code)
            site.publish(2, (*ROUTES, route("new", "/new/", RouteKind.REPEATABLE, "app")))

            async def served() -> bool:
                return (await site.call(node, "GET", "/new/x")).status_code == 200

            await until(served)

        run(scenario)

    def test_a_draining_worker_gets_no_request_once_the_change_is_read(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            site.log.drop_key(site.dialect.workers, "a1")

            async def only_other() -> bool:
                answers = [await site.call(node, "GET", "/ask/x") for _ in range(3)]
                return all(answer.headers["x-worker"] == "a2" for answer in answers)

            await until(only_other)

        run(scenario)


class DirectoryTests(testtools.TestCase):
    def test_the_directory_lists_ready_nodes_and_not_stopping_ones(self) -> None:
        async def scenario(site: Site) -> None:
            one, other = await site.start("n1"), await site.start("n2")

            async def named(expected: set[str]) -> bool:
                answer = await site.call(one, "GET", "/v1/resolve?region=r1&zone=z1")
                return answer.status_code == 200 and set(answer.json()["addresses"]) == expected

            await until(lambda: named({one.address, other.address}))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(other.gateway.stop)
                await until(lambda: named({one.address}))
                self.assertFalse(await site.ready(other))
                tasks.cancel_scope.cancel()

        run(scenario)

    def test_a_refused_lookup_is_logged(self) -> None:
        events: list[str] = []

        async def scenario(site: Site) -> None:
            node = await site.start("n1", ready=False)
            node.log.faults.down = True

            async def refused() -> bool:
                answer = await site.call(node, "GET", "/v1/resolve?region=r1&zone=z1")
                return answer.status_code == 503

            await until(refused)

        def note(event: str, _level: str = "info", **_fields: object) -> None:
            events.append(event)

        with mock.patch("stagewalk.gateway.entry.directory_calls.log_event", note):
            run(scenario)
        self.assertIn("lookup_refused", events)


class VersionTests(testtools.TestCase):
    def test_one_lease_holder_orders_all_engines_to_a_named_version(self) -> None:
        async def scenario(site: Site) -> None:
            await site.start("n1")
            await site.start("n2")
            site.name_version(2)
            engines = [site.workers.workers[name] for name in ("e1", "e2")]
            await until(lambda: _as_async(all(e.versions["m"] == 2 for e in engines)))
            orders = [order for engine in engines for order in engine.orders]
            self.assertEqual(1, len({order.holder for order in orders}))
            self.assertEqual(1, len({order.fence for order in orders}))

        run(scenario)

    def test_a_batch_waits_for_engines_with_its_minimum_version(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            await site.submit(node, "b1", "x", minimum=2)
            await anyio.sleep(0.3)
            self.assertEqual([], await site.results(node, "b1"))
            site.name_version(2)
            for name in ("e1", "e2"):
                site.add_worker(name, "engines")
            await until(
                lambda: _as_async(
                    all(site.workers.workers[n].versions["m"] == 2 for n in ("e1", "e2"))
                )
            )

        run(scenario)


async def _as_async(condition: bool) -> bool:
    return condition
