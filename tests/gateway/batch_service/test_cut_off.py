"""A node that is cut off from the log continues to work through another one."""

from __future__ import annotations

import testtools

from stagewalk.gateway.routes.route import RouteKind
from tests.gateway.support import ROUTES, Site, route, run, until


class CutOffTests(testtools.TestCase):
    def test_batches_and_configuration_go_through_another_node(self) -> None:
        async def scenario(site: Site) -> None:
            cut, other = await site.start("n1"), await site.start("n2")

            async def known() -> bool:
                answer = await site.call(cut, "GET", "/v1/resolve")
                return answer.is_success and len(answer.json()["addresses"]) == 2

            await until(known)
            cut.log.faults.down = True

            async def accepted() -> bool:
                return (await site.submit(cut, "b1", "x", "y")).status_code == 202

            await until(accepted)
            self.assertEqual({"x", "y"}, set(await site.until_listed(cut, "b1", 2)))
            self.assertEqual(await site.results(cut, "b1"), await site.until_listed(other, "b1", 2))
            site.publish(2, (*ROUTES, route("new", "/new/", RouteKind.REPEATABLE, "app")))

            async def served() -> bool:
                return (await site.call(cut, "GET", "/new/x")).status_code == 200

            await until(served)

        run(scenario)
