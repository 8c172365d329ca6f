"""Decoding of the platform's records and bodies, and encoding of its responses."""

from __future__ import annotations

import base64
import json
from unittest import mock

import testtools

from stagewalk.common.identities import Address
from stagewalk.gateway.batches.records import ItemFinished
from stagewalk.gateway.dialect import NamedVersion, ZoneEvacuation
from stagewalk.gateway.ports.partitioned_log import KeyedRecord
from stagewalk.gateway.routes.route import BackEnd, RouteKind
from stagewalk.gateway.scoring.records import ScoreCall
from stagewalk.gateway.tenants.tenant import Tenant
from stagewalk_platform.dialect import PlatformDialect

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "ficu95.example",
            "path_prefix": "/a/",
            "type": "safe",
            "timeout_ms": 1500,
            "target_latency_ms": 191,
            "priority": 2,
            "backends": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "max_attempts": 2,
        },
        {
            "name": "r-2",
            "host": "ficu95.example",
            "path_prefix": "/b/",
            "type": "rollout",
            "timeout_ms": 10000,
            "service": "s3",
            "max_attempts": 3,
            "max_wait_s": 40.0,
            "due_ms": 7500,
            "single_version": True,
            "sticky": True,
        },
    ],
    "services": [
        {"name": "s3", "health_path": "/health", "max_connections": 170, "engine": {"slots": 16}},
        {"name": "s1", "max_connections": 100, "protocol": "h1", "tls": False},
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
}


def record(key: str, value: object) -> KeyedRecord:
    return KeyedRecord(key, json.dumps(value).encode(), 3)


class DialectTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.dialect = PlatformDialect()

    def test_a_route_of_an_unknown_kind_is_skipped_and_logged(self) -> None:
        events: list[tuple[str, dict[str, object]]] = []

        def note(event: str, _level: str = "info", **fields: object) -> None:
            events.append((event, fields))

        route = {"name": "r", "host": "h", "path_prefix": "/r/", "type": "new", "timeout_ms": 1.0}
        with mock.patch("stagewalk_platform.configuration.log_event", note):
            decoded = self.dialect.decode_operator_record(
                record("config", {"version": 8, "routes": [route]})
            )
        self.assertEqual((), decoded.routes)
        self.assertEqual([("route_unusable", {"route": "r", "kind": "new"})], events)

    def test_a_configuration_with_split_and_plain_routes(self) -> None:
        decoded = self.dialect.decode_operator_record(record("config", CONFIGURATION))
        safe, batch = decoded.routes
        self.assertEqual((BackEnd("s1", 90), BackEnd("s2", 10)), safe.back_ends)
        self.assertEqual(RouteKind.REPEATABLE, safe.kind)
        self.assertEqual(RouteKind.BATCH, batch.kind)
        self.assertEqual((40.0, 7.5), (batch.give_up_seconds, batch.due_seconds))
        self.assertTrue(batch.single_version)
        self.assertEqual(["s3", "s1"], [service.name for service in decoded.services])
        self.assertEqual(16_384, decoded.limits.header_bytes)

    def test_unused_fields_are_validated(self) -> None:
        unused = {"max_connections": 7, "engine": {"models": ["m"]}}
        times = {"header_timeout_ms": 1.0, "idle_timeout_ms": 2.0}
        service = {"name": "s", **unused}
        kept = self.dialect.decode_operator_record(
            record("config", {**CONFIGURATION, "services": [service], "limits": times})
        )
        self.assertEqual(["s"], [service.name for service in kept.services])
        for limits in ({"header_timeout_ms": "soon"}, {"idle_timeout_ms": None}):
            published = {**CONFIGURATION, "limits": limits}
            self.assertIsNone(self.dialect.decode_operator_record(record("config", published)))
        for field in ({"max_connections": "many"}, {"max_connections": 1.5}):
            published = {**CONFIGURATION, "services": [{"name": "s", **field}]}
            self.assertIsNone(self.dialect.decode_operator_record(record("config", published)))

    def test_tenants_with_their_keys_and_public_routes(self) -> None:
        tenants = [{"name": "huka270", "api_keys": ["k1", "k2"], "priority": 1}, {"name": "empty"}]
        routes = [{**CONFIGURATION["routes"][0], "public": True}, CONFIGURATION["routes"][1]]
        published = {**CONFIGURATION, "routes": routes, "tenants": tenants}
        decoded = self.dialect.decode_operator_record(record("config", published))
        self.assertEqual((Tenant("huka270", ("k1", "k2"), 1), Tenant("empty", ())), decoded.tenants)
        self.assertEqual([True, False], [route.public for route in decoded.routes])
        without = self.dialect.decode_operator_record(record("config", CONFIGURATION))
        self.assertIsNone(without.tenants)

    def test_an_evacuation_and_its_end(self) -> None:
        key = "evacuate/hall-north"
        given = self.dialect.decode_operator_record(KeyedRecord(key, b"{}", 3))
        self.assertEqual(ZoneEvacuation("hall-north", in_force=True), given)
        taken_back = self.dialect.decode_operator_record(KeyedRecord(key, None, 4))
        self.assertEqual(ZoneEvacuation("hall-north", in_force=False), taken_back)

    def test_allowed_regions_and_cold_starts(self) -> None:
        route = {**CONFIGURATION["routes"][0], "allowed_regions": ["r1", "r2"]}
        service = {"name": "s1", "cold_start_s": 3.0, "cold_per_s": 11.0}
        tenants = [{"name": "t", "allowed_regions": ["r1"]}, {"name": "u", "allowed_regions": None}]
        value = {"version": 8, "routes": [route], "services": [service], "tenants": tenants}
        decoded = self.dialect.decode_operator_record(record("config", value))
        self.assertEqual({"r1", "r2"}, decoded.routes[0].allowed_regions)
        (cold,) = decoded.services
        self.assertEqual((3.0, 11.0), (cold.cold_seconds, cold.cold_rate))
        self.assertEqual([{"r1"}, set()], [tenant.allowed_regions for tenant in decoded.tenants])
        plain = self.dialect.decode_operator_record(record("config", CONFIGURATION))
        self.assertEqual({0.0}, {service.cold_rate for service in plain.services})
        self.assertEqual({frozenset()}, {route.allowed_regions for route in plain.routes})

    def test_a_named_version(self) -> None:
        decoded = self.dialect.decode_operator_record(
            record("version/m", {"model": "m", "version": 8})
        )
        self.assertEqual(NamedVersion("m", 8), decoded)

    def test_invalid_records_decode_to_none(self) -> None:
        self.assertIsNone(self.dialect.decode_operator_record(KeyedRecord("config", b"{", 1)))
        self.assertIsNone(self.dialect.decode_operator_record(record("other", {})))
        self.assertIsNone(self.dialect.decode_worker_announcement(record("i-1", {"service": "s"})))
        self.assertIsNone(self.dialect.decode_worker_announcement(KeyedRecord("i-1", None, 1)))

    def test_a_workers_entry(self) -> None:
        entry = {
            "service": "s",
            "address": "10.0.0.9:8080",
            "zone": "z",
            "version": "v1",
            "slots": 16,
            "state": "draining",
            "sequence": 4,
            "models": [{"name": "m", "version": 3, "adapters": []}],
            "cold_remaining_ms": 1500,
        }
        decoded = self.dialect.decode_worker_announcement(record("i-1", entry))
        self.assertEqual(1.5, decoded.cold_seconds)
        self.assertEqual(Address("10.0.0.9", 8080), decoded.address)
        self.assertTrue(decoded.draining)
        self.assertEqual({"m": 3}, decoded.versions)

    def submit(self, **changes: object):
        item = {
            "id": "x",
            "path": "/b/1",
            "headers": {"X-Model": "m", "X-Length-Hint": "232"},
            "body": base64.b64encode(b"\x00\x01").decode(),
            "group": "g1",
            **changes,
        }
        body = {"step": 4, "model": "m", "min_version": 3, "desired_count": 2, "items": [item]}
        return self.dialect.submission("b", "h", "/b/", json.dumps(body).encode())

    def test_a_batch(self) -> None:
        submission = self.submit().ok
        header = submission.header
        self.assertEqual((4, 3, 2), (header.step, header.minimum_version, header.wanted_groups))
        item = submission.items[0]
        self.assertEqual((b"\x00\x01", "m", 232), (item.body, item.model, item.expected_length))
        self.assertIn(("X-Length-Hint", "232"), item.headers)

    def test_an_invalid_batch_is_an_error(self) -> None:
        self.assertTrue(self.submit(body="no base64!").is_error())
        self.assertTrue(self.submit(id=7).is_error())

    def test_the_scorer_of_an_item_becomes_its_score_call(self) -> None:
        scorer = {"id": "c1", "host": "h", "path": "/s/1", "body": base64.b64encode(b"r").decode()}
        self.assertIsNone(self.submit().ok.items[0].score_call)
        item = self.submit(scorer=scorer).ok.items[0]
        self.assertEqual(ScoreCall("c1", "h", "/s/1", b"r"), item.score_call)

    def test_an_invalid_scorer_is_an_error_that_names_the_field(self) -> None:
        good = {"id": "c1", "host": "h", "path": "/s/1", "body": ""}
        faults = {"id": "", "host": "", "path": "s/1", "body": "no base64!"}
        for field, bad in faults.items():
            error = self.submit(scorer={**good, field: bad}).error
            self.assertIn(f"scorer.{field}", str(error))
        missing = {name: value for name, value in good.items() if name != "host"}
        self.assertIn("host", str(self.submit(scorer=missing).error))
        self.assertIn("items[0].body", str(self.submit(body="no base64!").error))

    def test_a_score_is_encoded_only_if_there_is_one(self) -> None:
        results = [
            ItemFinished("b", "x", True, "t", (1,), "sig"),
            ItemFinished("b", "y", 1, "", ()),
        ]
        page = json.loads(self.dialect.results(5, 2, results))
        self.assertEqual("sig", page["results"][0]["score"])
        self.assertNotIn("score", page["results"][1])

    def test_a_page_of_results_is_encoded_with_the_platforms_names(self) -> None:
        results = [ItemFinished("b", "x", True, "t", (1, 2)), ItemFinished("b", "y", False, "", ())]
        page = json.loads(self.dialect.results(5, 2, results))
        self.assertEqual(["total", "next_token", "results"], list(page))
        self.assertEqual(["succeeded", "errored"], [row["state"] for row in page["results"]])
        self.assertEqual([1, 2], page["results"][0]["versions"])
