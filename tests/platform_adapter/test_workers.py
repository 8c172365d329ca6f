"""Classification of workers' responses: complete, proven not run, or possibly run."""

from __future__ import annotations

import json
from unittest import mock

import anyio
import testtools

from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.send_permits import SendPermit, WorkerTarget
from stagewalk.gateway.ports.workers import (
    AttemptFault,
    ContactLoss,
    OrderOutcome,
    OutboundRequest,
    StreamEvent,
    StreamHead,
    StreamPart,
    VersionOrder,
    WorkerLoad,
)
from stagewalk_platform.workers import PlatformWorkers
from tests.gateway.eligibility.support import granted
from tests.platform_adapter.scripted_server import Scripted, ScriptedServer, chunked, play, respond

SIGNED = {"x_request_id": "q1", "x_response_signature": "s", "x_instance_load": "3,1,8"}
EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\nda", b"ta: b\n\n"]
ORDER = VersionOrder("m", 2, "n#1", 41, 6)


def request(**changes: object) -> OutboundRequest:
    fields: dict[str, object] = {
        "request_id": "q1",
        "method": "POST",
        "target": "/a/b?c=1",
        "headers": (("host", "h.example"), ("x-deadline-ms", "99999"), ("accept", "*/*")),
        "body": b"body",
        "deadline_seconds": 1.5,
    }
    return OutboundRequest(**{**fields, **changes})


def target(server: ScriptedServer) -> WorkerTarget:
    return WorkerTarget("i-1", server.address)


class SendTests(testtools.TestCase):
    def send(self, *answers: Scripted, **changes: object):
        outcome = []

        async def scenario(server: ScriptedServer) -> None:
            outcome.append(
                await PlatformWorkers().send(granted(target(server)), request(**changes))
            )
            outcome.append(server)

        play(list(answers), scenario)
        return outcome

    def fault(self, content: bytes, **kinds: bool) -> AttemptFault:
        result, _ = self.send(Scripted(content, **kinds))
        return result.error.fault

    def test_a_complete_response_is_returned_with_its_load(self) -> None:
        result, server = self.send(Scripted(respond("200 OK", b"ok", **SIGNED)))
        answer = result.ok
        self.assertEqual((200, b"ok", True), (answer.status, answer.body, answer.is_signed))
        self.assertEqual(WorkerLoad(3, 1, 8), answer.load)
        sent = server.requests[0].lower()
        self.assertTrue(sent.startswith(b"post /a/b?c=1 http/1.1\r\n"))
        for line in (b"x-request-id: q1", b"x-target-instance: i-1", b"x-deadline-ms: 1500"):
            self.assertEqual(1, sent.count(line))
        self.assertNotIn(b"99999", sent)
        self.assertTrue(sent.endswith(b"body"))

    def test_the_gateway_replaces_the_tenant_header_and_removes_the_api_key(self) -> None:
        sent = (("Authorization", "Bearer key-1"), ("X-Tenant", "forged"), ("accept", "*/*"))
        for tenant, expected in (("huka270", b"x-tenant: huka270"), ("", b"")):
            _, server = self.send(
                Scripted(respond("200 OK", b"ok", **SIGNED)),
                headers=sent,
                tenant=tenant,
                priority=2,
            )
            head = server.requests[0].lower()
            self.assertIn(expected, head)
            self.assertIn(b"x-request-priority: 2", head)
            for hidden in (b"key-1", b"forged"):
                self.assertNotIn(hidden, head)

    def test_without_tenants_the_callers_headers_are_forwarded(self) -> None:
        sent = (("Authorization", "Basic own"), ("x-tenant", "own"))
        _, server = self.send(Scripted(respond("200 OK", b"ok", **SIGNED)), headers=sent)
        self.assertIn(b"authorization: basic own", server.requests[0].lower())
        self.assertIn(b"x-tenant: own", server.requests[0].lower())

    def test_a_response_to_another_request_is_rejected(self) -> None:
        other = {**SIGNED, "x_request_id": "q0"}
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, self.fault(respond("200 OK", b"ok", **other)))

    def test_a_response_without_a_request_id_is_rejected(self) -> None:
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, self.fault(respond("200 OK", b"ok")))

    def test_only_the_not_executed_header_proves_that_a_request_did_not_run(self) -> None:
        headers = {**SIGNED, "x_not_executed": "1"}
        self.assertEqual(AttemptFault.NOT_RUN, self.fault(respond("503 Busy", **headers)))
        result, _ = self.send(Scripted(respond("503 Busy", **SIGNED)))
        self.assertEqual(503, result.ok.status)

    def test_a_refusal_includes_the_workers_load(self) -> None:
        full = {**SIGNED, "x_not_executed": "1", "x_instance_load": "6,18,6,250"}
        result, _ = self.send(Scripted(respond("503 Busy", **full)))
        self.assertEqual(WorkerLoad(6, 18, 6, 2.5), result.error.load)

    def test_a_misdirected_request_is_a_wrong_worker(self) -> None:
        content = respond("421 Misdirected", x_instance_id="i-2")
        self.assertEqual(AttemptFault.WRONG_WORKER, self.fault(content))

    def test_requests_with_damaged_or_truncated_responses_may_have_run(self) -> None:
        cut = respond("200 OK", b"whole", **SIGNED)[:-2]
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, self.fault(cut, close=True))
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, self.fault(cut, reset=True))
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, self.fault(b"noise\r\n\r\n", close=True))
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, self.fault(b"", reset=True))

    def test_contact_loss_distinguishes_a_closed_connection_from_a_timeout(self) -> None:
        cases = (
            (Scripted(b"", close=True), ContactLoss.CLOSED),
            (Scripted(b"", reset=True), ContactLoss.CLOSED),
            (Scripted(respond("200 OK", b"whole", **SIGNED)[:-2], close=True), ContactLoss.CLOSED),
            (Scripted(b"", after_seconds=0.5), ContactLoss.TIMED_OUT),
            (Scripted(respond("421 Misdirected")), None),
            (Scripted(respond("200 OK", b"ok", **{**SIGNED, "x_request_id": "q0"})), None),
        )
        for answer, loss in cases:
            result, _ = self.send(answer, deadline_seconds=0.2)
            self.assertIs(loss, result.error.contact_loss)

    def test_a_closed_port_is_distinguished_from_a_listening_one(self) -> None:
        async def scenario(server: ScriptedServer) -> None:
            workers = PlatformWorkers()
            self.assertIs(True, await workers.is_listening(target(server)))
            closed_port = WorkerTarget("i-1", type(server.address)("127.0.0.1", 1))
            self.assertIs(False, await workers.is_listening(closed_port))

        play([Scripted(b"")], scenario)

    def test_a_machine_that_does_not_respond_is_unknown(self) -> None:
        async def scenario(server: ScriptedServer) -> None:
            with mock.patch("anyio.connect_tcp", lambda *_arguments: anyio.sleep(9.0)):
                self.assertIsNone(await PlatformWorkers().is_listening(target(server)))

        play([], scenario)

    def test_an_unframed_response_that_is_reset_may_have_run(self) -> None:
        content = respond("200 OK", b"part", framed=False, **SIGNED)
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, self.fault(content, reset=True))

    def test_a_response_after_the_deadline_may_have_run(self) -> None:
        result, _ = self.send(Scripted(b"", after_seconds=0.5), deadline_seconds=0.05)
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, result.error.fault)

    def test_a_refused_connection_means_that_nothing_was_sent(self) -> None:
        async def scenario(server: ScriptedServer) -> None:
            closed_port = WorkerTarget("i-1", type(server.address)("127.0.0.1", 1))
            result = await PlatformWorkers().send(granted(closed_port), request())
            self.assertEqual(AttemptFault.NOT_SENT, result.error.fault)

        play([], scenario)

    def test_a_duplicate_response_is_not_used_for_the_next_request(self) -> None:
        async def scenario(server: ScriptedServer) -> None:
            client = PlatformWorkers()
            first = await client.send(granted(target(server)), request())
            self.assertEqual(b"1", first.ok.body)
            second = await client.send(granted(target(server)), request(request_id="q2"))
            self.assertTrue(second.is_error() or second.ok.body == b"2")

        doubled = respond("200 OK", b"1", **SIGNED) * 2
        answer = respond("200 OK", b"2", **{**SIGNED, "x_request_id": "q2"})
        play([Scripted(doubled), Scripted(answer)], scenario)

    def test_requests_that_must_not_be_repeated_use_new_connections(self) -> None:
        async def scenario(server: ScriptedServer) -> None:
            client = PlatformWorkers()
            for _ in range(3):
                await client.send(granted(target(server)), request(repeatable=False))
            self.assertEqual(3, server.connections)

        play([Scripted(respond("200 OK", **SIGNED)) for _ in range(3)], scenario)


class PermitTests(testtools.TestCase):
    """A permit is confirmed again when its request is about to be sent."""

    def test_a_request_denied_on_a_new_connection_is_not_sent(self) -> None:
        async def scenario(server: ScriptedServer) -> None:
            permit = SendPermit(target(server), lambda _now: Denial.ZONE_EVACUATED)
            result = await PlatformWorkers().send(permit, request())
            outcome.append((result.error.fault, result.error.detail, len(server.requests)))

        outcome: list[tuple[AttemptFault, str, int]] = []
        play([Scripted(respond("200 OK", b"ok", **SIGNED))], scenario)
        self.assertEqual([(AttemptFault.WITHHELD, "zone_evacuated", 0)], outcome)

    def test_a_request_denied_on_a_pooled_connection_is_not_sent(self) -> None:
        async def scenario(server: ScriptedServer) -> None:
            client = PlatformWorkers()
            denials: list[Denial | None] = [None, Denial.COLD_RATE_REACHED, None]
            permit = SendPermit(target(server), lambda _now: denials.pop(0))
            for _ in range(3):
                answers.append(await client.send(permit, request()))
            request_counts.append(len(server.requests))

        answers = []
        request_counts: list[int] = []
        play([Scripted(respond("200 OK", b"ok", **SIGNED)) for _ in range(2)], scenario)
        self.assertEqual([True, False, True], [answer.is_ok() for answer in answers])
        self.assertEqual([2], request_counts)

    def test_a_denied_stream_is_not_sent(self) -> None:
        async def ignore(_part: StreamPart) -> None:
            pass

        async def scenario(server: ScriptedServer) -> None:
            permit = SendPermit(target(server), lambda _now: Denial.WORKER_LEAVING)
            result = await PlatformWorkers().stream(permit, request(), ignore)
            outcome.append((result.error.fault, len(server.requests)))

        outcome: list[tuple[AttemptFault, int]] = []
        play([Scripted(chunked(EVENTS, **SIGNED))], scenario)
        self.assertEqual([(AttemptFault.WITHHELD, 0)], outcome)


class PoolTimeoutTests(testtools.TestCase):
    def test_a_request_that_times_out_waiting_for_the_pool_is_not_sent(self) -> None:
        """Otherwise it would be sent long after its permit was issued."""
        outcome = []

        async def ignore(_part: StreamPart) -> None:
            pass

        async def scenario(server: ScriptedServer) -> None:
            workers = PlatformWorkers()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(workers.stream, granted(target(server)), request(), ignore)
                with anyio.fail_after(5.0):
                    while not server.requests:
                        await anyio.sleep(0.01)
                outcome.append(await workers.stream(granted(target(server)), request(), ignore))
                tasks.cancel_scope.cancel()
            outcome.append(len(server.requests))

        with mock.patch("stagewalk_platform.workers.MAXIMUM_CONNECTIONS_PER_WORKER", 1):
            play([Scripted(b"", after_seconds=10.0)], scenario)
        result, requests = outcome
        self.assertIs(AttemptFault.NOT_SENT, result.error.fault)
        self.assertEqual(1, requests)


class StreamTests(testtools.TestCase):
    def stream(self, content: bytes, **kinds: bool):
        parts: list[StreamHead | StreamEvent] = []
        outcome = []

        async def deliver(part: StreamHead | StreamEvent) -> None:
            parts.append(part)

        async def scenario(server: ScriptedServer) -> None:
            client = PlatformWorkers()
            result = await client.stream(granted(target(server)), request(resume_after=4), deliver)
            outcome.append(result)
            outcome.append(server.requests[0].lower())

        play([Scripted(content, **kinds)], scenario)
        return outcome[0], parts, outcome[1]

    def test_a_complete_stream(self) -> None:
        content = chunked(EVENTS, x_weight_versions="3", **SIGNED)
        result, parts, sent = self.stream(content)
        self.assertEqual(200, result.ok.status)
        self.assertEqual((3,), parts[0].versions)
        self.assertEqual([(1, "a"), (2, "b")], [(e.number, e.data) for e in parts[1:]])
        self.assertIn(b"last-event-id: 4", sent)

    def test_a_truncated_stream_may_have_run(self) -> None:
        for kinds in ({"close": True}, {"reset": True}):
            content = chunked(EVENTS, whole=False, **SIGNED)
            result, _, _ = self.stream(content, **kinds)
            self.assertEqual(AttemptFault.MAY_HAVE_RUN, result.error.fault)

    def test_a_stream_that_ends_within_an_event_may_have_run(self) -> None:
        result, parts, _ = self.stream(chunked(EVENTS[:2], **SIGNED))
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, result.error.fault)
        self.assertEqual(2, len(parts))

    def test_an_unframed_stream_is_an_error(self) -> None:
        content = respond("200 OK", b"".join(EVENTS), framed=False, **SIGNED)
        result, parts, _ = self.stream(content, close=True)
        self.assertTrue(result.is_error())
        self.assertEqual(3, len(parts))

    def test_malformed_bytes_end_the_stream(self) -> None:
        result, _, _ = self.stream(chunked([b"\xfe\xff\n\n"], **SIGNED))
        self.assertEqual(AttemptFault.MAY_HAVE_RUN, result.error.fault)


class OrderTests(testtools.TestCase):
    def order(self, content: bytes, **kinds: bool):
        outcome = []

        async def scenario(server: ScriptedServer) -> None:
            outcome.append(await PlatformWorkers().request_version_change(target(server), ORDER))
            outcome.append(server.requests[0])

        play([Scripted(content, **kinds)], scenario)
        return outcome

    def test_outcomes(self) -> None:
        for status, expected in (
            ("202 Accepted", OrderOutcome.TAKEN),
            ("200 OK", OrderOutcome.HELD_ALREADY),
            ("409 Conflict", OrderOutcome.CONFLICT),
            ("412 Precondition", OrderOutcome.FENCED),
            ("421 Misdirected", OrderOutcome.REFUSED),
        ):
            self.assertEqual(expected, self.order(respond(status))[0])
        self.assertEqual(OrderOutcome.UNKNOWN, self.order(b"", reset=True)[0])

    def test_an_order_includes_its_holder_fence_and_expected_count(self) -> None:
        sent = self.order(respond("202 Accepted"))[1]
        body = json.loads(sent.split(b"\r\n\r\n", 1)[1])
        self.assertEqual(("n#1", 41, 6), (body["holder"], body["fence"], body["expected"]))
        self.assertIn(b"x-target-instance: i-1", sent.lower())

    def test_a_report(self) -> None:
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 2, "adapters": []}],
            "busy": True,
            "sequence": 5,
            "num_waiting": 1,
            "num_running": 12,
        }

        async def scenario(server: ScriptedServer) -> None:
            result = await PlatformWorkers().report(target(server))
            self.assertEqual({"m": 2}, result.ok.versions)
            self.assertEqual((True, 5), (result.ok.ordering, result.ok.orders_taken))

        play([Scripted(respond("200 OK", json.dumps(report).encode()))], scenario)
