"""Clients of the platform's services: decoding, and which failures leave the outcome unknown."""

from __future__ import annotations

import base64
from collections.abc import Callable

import anyio
import httpx
import msgspec
import testtools

from stagewalk.common.errors import ErrorStep, ExecutionStatus
from stagewalk.common.identities import Address, ModelName, RecordId
from stagewalk.node.adapters.http_platform import (
    HttpLogService,
    HttpMachineList,
    HttpScorer,
    HttpWeightStore,
)
from stagewalk.node.core.instructions import ScoreSample
from stagewalk.node.core.platform import LogRecord, MachineState

Handler = Callable[[httpx.Request], httpx.Response]
URL = "http://127.0.0.1:9000"


def client(handler: Handler) -> httpx.MockTransport:
    return httpx.MockTransport(handler)


def answering(status: int, body: object) -> Handler:
    return lambda request: httpx.Response(status, json=body)


class LogTest(testtools.TestCase):
    def test_read(self) -> None:
        row = {"offset": 4, "record_id": "a", "payload": base64.b64encode(b"x\x00").decode()}
        log = HttpLogService(client(answering(200, {"records": [row], "head": 9})), URL)
        page = anyio.run(log.read, "configuration", 4).ok
        self.assertEqual((LogRecord(4, RecordId("a"), b"x\x00"),), page.records)
        self.assertEqual(9, page.head)

    def test_append_sends_id_and_payload_and_quotes_the_stream(self) -> None:
        requests: list[httpx.Request] = []

        def handler(request: httpx.Request) -> httpx.Response:
            requests.append(request)
            return httpx.Response(200, json={"offsets": [12]})

        log = HttpLogService(client(handler), URL)
        self.assertEqual(12, anyio.run(log.append, "a/b", RecordId("id"), b"p").ok)
        self.assertEqual(f"{URL}/streams/a%2Fb/records", str(requests[0].url))
        body = msgspec.json.decode(requests[0].content)
        self.assertEqual({"records": [{"record_id": "id", "payload": "cA=="}]}, body)

    def test_append_failures(self) -> None:
        def raising(error: type[httpx.TransportError]) -> Handler:
            def handler(request: httpx.Request) -> httpx.Response:
                raise error("scripted", request=request)

            return handler

        cases: list[tuple[Handler, ExecutionStatus]] = [
            (answering(500, {}), ExecutionStatus.UNKNOWN),
            (answering(200, {"offsets": []}), ExecutionStatus.UNKNOWN),
            (answering(200, {"nonsense": 1}), ExecutionStatus.UNKNOWN),
            (raising(httpx.ReadTimeout), ExecutionStatus.UNKNOWN),
            (raising(httpx.RemoteProtocolError), ExecutionStatus.UNKNOWN),
            (raising(httpx.ConnectError), ExecutionStatus.NO),
            (raising(httpx.ConnectTimeout), ExecutionStatus.NO),
            (answering(400, {}), ExecutionStatus.NO),
            (answering(408, {}), ExecutionStatus.UNKNOWN),
        ]
        for handler, ran in cases:
            log = HttpLogService(client(handler), URL)
            error = anyio.run(log.append, "s", RecordId("id"), b"p").error
            self.assertEqual(
                (ran, ErrorStep.LOG_APPEND, "log"), (error.ran, error.step, error.peer)
            )


class OtherServicesTest(testtools.TestCase):
    def test_machines(self) -> None:
        row = {
            "name": "n1", "kind": "node", "host": "10.0.0.1", "port": 7946, "region": "amman",
            "zone": "jabal-hall", "state": "leaving", "service": "fihris-app",
        }  # fmt: skip
        answer = answering(200, {"machines": [row], "as_of": 1.0})
        (machine,) = anyio.run(HttpMachineList(client(answer), URL).read).ok
        self.assertEqual(Address("10.0.0.1", 7946), machine.address)
        self.assertEqual(("amman", MachineState.LEAVING), (machine.placement.region, machine.state))

    def test_an_unchanged_machine_list_is_not_sent_again(self) -> None:
        tags: list[str | None] = []

        def handler(request: httpx.Request) -> httpx.Response:
            tags.append(request.headers.get("if-none-match"))
            if tags[-1] == '"1"':
                return httpx.Response(304)
            return httpx.Response(200, json={"machines": [], "as_of": 1.0}, headers={"etag": '"1"'})

        async def read_twice() -> None:
            machines = HttpMachineList(client(handler), URL)
            self.assertEqual((), (await machines.read()).ok)
            self.assertIsNone((await machines.read()).ok)

        anyio.run(read_twice)
        self.assertEqual([None, '"1"'], tags)

    def test_versions_and_score(self) -> None:
        row = {"version": 5, "size_bytes": 10, "published_at": 2.0}
        store = HttpWeightStore(client(answering(200, {"versions": [row]})), URL)
        (version,) = anyio.run(store.versions, ModelName("qari")).ok
        self.assertEqual((5, "qari"), (version.version, version.model))
        scorer = HttpScorer(client(answering(200, {"sample_id": "s", "score": 0.25})), URL)
        self.assertEqual(0.25, anyio.run(scorer.score, ScoreSample("s", "t", "p", "x")).ok)
