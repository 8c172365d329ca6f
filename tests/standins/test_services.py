"""Tests of the log, weight store, machine list and scorer against docs/PLATFORM.md."""

from __future__ import annotations

import base64
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpx
import testtools

from stagewalk.history.observations import RecordAppended, read_history
from stagewalk_standins.faults import FaultSwitch
from stagewalk_standins.history_file import HistoryFile
from stagewalk_standins.log_server import LogServer
from stagewalk_standins.machine_server import MachineServer
from stagewalk_standins.scorer_server import ScorerServer
from stagewalk_standins.web import Answer, Application, Request
from stagewalk_standins.weight_server import WeightServer
from tests.standins.temporary import temporary_directory

RECORDS = "/streams/s/records"
MACHINE = {"kind": "node", "host": "127.0.0.9", "port": 7, "region": "r", "zone": "z"}


def call(application: Application, steps: Callable[[httpx.AsyncClient], Awaitable[None]]) -> None:
    FaultSwitch().add_routes(application)

    async def run() -> None:
        transport = httpx.ASGITransport(app=application)  # type: ignore[arg-type]
        async with httpx.AsyncClient(transport=transport, base_url="http://service") as client:
            await steps(client)

    anyio.run(run)


def append_body(record_id: str, payload: bytes = b"x") -> dict[str, Any]:
    encoded = base64.b64encode(payload).decode()
    return {"records": [{"record_id": record_id, "payload": encoded}]}


class LogTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.file = temporary_directory(self) / "log.history"
        self.application = LogServer(HistoryFile(self.file)).application()

    def appended(self) -> list[str]:
        history = read_history([self.file])
        return [each.record_id for each in history if isinstance(each, RecordAppended)]

    def test_records_are_read_back_in_order_and_observed(self) -> None:
        async def steps(client: httpx.AsyncClient) -> None:
            for index in range(3):
                answer = await client.post(RECORDS, json=append_body(f"r{index}", b"\x00\xff"))
                self.assertEqual({"offsets": [index]}, answer.json())
            read = (await client.get(RECORDS, params={"offset": 1, "limit": 1})).json()
            self.assertEqual(3, read["head"])
            self.assertEqual([1], [record["offset"] for record in read["records"]])
            self.assertEqual(b"\x00\xff", base64.b64decode(read["records"][0]["payload"]))

        call(self.application, steps)
        self.assertEqual(["r0", "r1", "r2"], self.appended())

    def test_read_waits_for_a_first_record(self) -> None:
        async def steps(client: httpx.AsyncClient) -> None:
            read: list[int] = []

            async def wait_for_record() -> None:
                answer = await client.get(RECORDS, params={"offset": 0, "wait_seconds": 20})
                read.append(len(answer.json()["records"]))

            async with anyio.create_task_group() as group:
                group.start_soon(wait_for_record)
                await anyio.sleep(0.02)
                self.assertEqual([], read)
                await client.post(RECORDS, json=append_body("r"))
            self.assertEqual([1], read)

        call(self.application, steps)

    def test_lost_answers_took_effect_and_an_outage_did_not(self) -> None:
        async def steps(client: httpx.AsyncClient) -> None:
            await client.put("/control/faults", json={"lose_every": 2})
            statuses = [
                (await client.post(RECORDS, json=append_body(f"r{index}"))).status_code
                for index in range(4)
            ]
            self.assertEqual([200, 500, 200, 500], statuses)
            await client.put("/control/faults", json={"down": True})
            self.assertEqual(503, (await client.post(RECORDS, json=append_body("x"))).status_code)
            self.assertEqual(503, (await client.get(RECORDS)).status_code)
            await client.put("/control/faults", json={})
            self.assertEqual(4, (await client.get(RECORDS)).json()["head"])

        call(self.application, steps)
        self.assertEqual(["r0", "r1", "r2", "r3"], self.appended())

    def test_unreadable_bodies_append_nothing(self) -> None:
        async def steps(client: httpx.AsyncClient) -> None:
            bad = {"records": [{"record_id": "a", "payload": "eA=="}, {"record_id": "b"}]}
            not_base64 = {"records": [{"record_id": "a", "payload": "!"}]}
            for body in (bad, not_base64):
                self.assertEqual(400, (await client.post(RECORDS, json=body)).status_code)
            self.assertEqual(400, (await client.get(RECORDS, params={"offset": -1})).status_code)
            self.assertEqual(0, (await client.get(RECORDS)).json()["head"])

        call(self.application, steps)

    def test_partial_last_line_is_truncated_on_restart(self) -> None:
        self.file.write_bytes(b'{"type":"Rec')
        HistoryFile(self.file)
        self.assertEqual(b"", self.file.read_bytes())


class WeightsTest(testtools.TestCase):
    def test_versions_are_published_once_and_fetched_whole(self) -> None:
        async def steps(client: httpx.AsyncClient) -> None:
            path = "/models/m/versions"
            first = await client.put(f"{path}/1", json={"size_bytes": 300_000})
            again = await client.put(f"{path}/1", json={"size_bytes": 5})
            self.assertEqual((201, 409), (first.status_code, again.status_code))
            self.assertEqual(first.json(), again.json())
            self.assertEqual([first.json()], (await client.get(path)).json()["versions"])
            self.assertEqual(300_000, len((await client.get(f"{path}/1/weights")).content))
            self.assertEqual(404, (await client.get(f"{path}/2/weights")).status_code)

        call(WeightServer(1e9, 2).application(), steps)

    def test_excess_fetches_are_refused_with_retry_after(self) -> None:
        async def steps(client: httpx.AsyncClient) -> None:
            await client.put("/models/m/versions/1", json={"size_bytes": 200_000})
            answers: list[httpx.Response] = []

            async def fetch() -> None:
                answers.append(await client.get("/models/m/versions/1/weights"))

            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(fetch)
            self.assertEqual([200, 200, 429], sorted(each.status_code for each in answers))
            refused = next(each for each in answers if each.status_code == 429)
            self.assertEqual("1", refused.headers["retry-after"])

        call(WeightServer(1e6, 2).application(), steps)


class MachinesTest(testtools.TestCase):
    def test_list_returns_the_state_before_the_lag(self) -> None:
        now = [10.0]

        async def steps(client: httpx.AsyncClient) -> None:
            await client.put("/machines/n1", json=MACHINE)
            self.assertEqual([], (await client.get("/machines")).json()["machines"])
            now[0] += 2.5
            await client.delete("/machines/n1")
            listed = (await client.get("/machines")).json()["machines"]
            expected = {**MACHINE, "name": "n1", "state": "live", "service": ""}
            self.assertEqual([expected], listed)
            known = {"if-none-match": (await client.get("/machines")).headers["etag"]}
            self.assertEqual(304, (await client.get("/machines", headers=known)).status_code)
            now[0] += 2.5
            self.assertEqual(200, (await client.get("/machines", headers=known)).status_code)
            self.assertEqual([], (await client.get("/machines")).json()["machines"])
            self.assertEqual(404, (await client.delete("/machines/n1")).status_code)

        call(MachineServer(lag_seconds=2.0, now=lambda: now[0]).application(), steps)


class ApplicationTest(testtools.TestCase):
    def test_failing_handler_and_unknown_path_are_answered(self) -> None:
        async def fail(request: Request) -> Answer:
            raise RuntimeError(request.path_values["name"])

        async def steps(client: httpx.AsyncClient) -> None:
            failed = await client.get("/things/x")
            self.assertEqual((500, "unknown"), (failed.status_code, failed.json()["ran"]))
            self.assertEqual(404, (await client.post("/things/x")).status_code)
            self.assertEqual(404, (await client.get("/things")).status_code)

        application = Application()
        application.route("GET", "/things/{name}", fail)
        call(application, steps)


class ScorerTest(testtools.TestCase):
    def test_scores_are_idempotent(self) -> None:
        async def steps(client: httpx.AsyncClient) -> None:
            body = {"sample_id": "s", "tenant": "t", "prompt": "p", "text": "x"}
            answers = [(await client.post("/score", json=body)).json() for _ in range(2)]
            self.assertEqual(answers[0], answers[1])
            other = (await client.post("/score", json={**body, "text": "y"})).json()
            self.assertNotEqual(answers[0]["score"], other["score"])

        call(ScorerServer(0.0, 0.0, random.Random(1)).application(), steps)
