"""The text of an item whose attempt broke off is completed only by the rest of its events."""

from __future__ import annotations

import testtools

from stagewalk.gateway.ports.workers import AttemptFault
from tests.gateway.support import Site, run

EVENTS = 3
"""Events of an item, as the in-memory engines send by default."""

TEXT_FIELD = 4
"""Index of the text in a listed result."""


class ItemResumptionTests(testtools.TestCase):
    def test_a_status_of_the_engine_that_resumes_an_item_never_makes_its_text_whole(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            for status in (204, 404, 429, 500, 502, 503, 504):
                site.workers.stream_script = [AttemptFault.MAY_HAVE_RUN, status]
                batch, item = f"b{status}", f"x{status}"
                await site.submit(node, batch, item)
                await site.until_listed(node, batch, 1)
                page = await site.call(node, "GET", f"/v1/batches/{batch}?from_position=0")
                text = "\n".join(f"{item}-{number}" for number in range(1, EVENTS + 1))
                self.assertEqual(text, page.json()["results"][0][TEXT_FIELD], status)
                self.assertEqual([], site.workers.stream_script)

        run(scenario)
