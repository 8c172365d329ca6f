"""Metrics of a running gateway: requests, log calls and state gauges."""

from __future__ import annotations

import contextlib

import httpx
import testtools
from prometheus_client.parser import text_string_to_metric_families

from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFault
from tests.gateway.support import Running, Site, run, until


async def samples(
    site: Site, node: Running
) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    text = (await site.call(node, "GET", "/metrics")).text
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


class MetricsTests(testtools.TestCase):
    def test_state_log_calls_and_requests_are_exported(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            await site.submit(node, "b1", "x", "y")
            await site.until_listed(node, "b1", 2)
            await site.call(node, "GET", "/ask/x", stagewalk_request_id="q1")
            seen = await samples(site, node)
            self.assertEqual(1.0, seen["stagewalk_configuration_version", ()])
            self.assertEqual(4.0, seen["stagewalk_workers", ()])
            self.assertEqual(1.0, seen["stagewalk_ledger_replica", ()])
            self.assertEqual(0.0, seen["stagewalk_running_attempts", ()])
            self.assertLess(seen["stagewalk_view_age_seconds", (("partition", "batches/0"),)], 60.0)
            self.assertGreater(seen["process_open_fds", ()], 0.0)
            appended = (("operation", "append"), ("outcome", "answered"))
            self.assertGreaterEqual(seen["stagewalk_log_call_seconds_count", appended], 2.0)
            answered = (("kind", "repeatable"), ("outcome", "200"))
            self.assertEqual(1.0, seen["stagewalk_forwarded_requests_total", answered])

        run(scenario)

    def test_streams_that_are_broken_off_are_counted_by_how_they_ended(self) -> None:
        """They were left out, so that the alarm of failed requests could not see them."""

        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            site.workers.stream_script = [AttemptFault.MAY_HAVE_RUN]
            with contextlib.suppress(httpx.RemoteProtocolError):
                await site.call(node, "POST", "/stream/x", stagewalk_request_id="q1")
            broken = (("kind", "stream"), ("outcome", "unknown"))
            seen = await samples(site, node)
            self.assertEqual(1.0, seen.get(("stagewalk_forwarded_requests_total", broken)))

        run(scenario)

    def test_evacuated_zones_and_denied_requests_are_counted(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            site.evacuate("z1")

            async def evacuated() -> bool:
                return (await samples(site, node))["stagewalk_evacuated_zones", ()] == 1.0

            await until(evacuated)
            self.assertEqual(0.0, (await samples(site, node))["stagewalk_cold_leases", ()])
            node.gateway._metrics.send_denied(Denial.ZONE_EVACUATED)
            denied = (("reason", "zone_evacuated"),)
            seen = await samples(site, node)
            self.assertEqual(1.0, seen["stagewalk_send_denials_total", denied])

        run(scenario)

    def test_refused_log_calls_are_counted(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            node.log.faults.down = True
            await site.submit(node, "b1", "x")
            seen = await samples(site, node)
            refused = (("operation", "append"), ("outcome", "refused"))
            self.assertGreaterEqual(seen["stagewalk_log_call_seconds_count", refused], 1.0)

        run(scenario)
