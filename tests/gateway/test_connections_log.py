"""Opened connections are logged at intervals, and only if there are new ones."""

from __future__ import annotations

from collections import Counter
from unittest import mock

import testtools

from stagewalk.gateway.connections_log import LOG_INTERVAL_SECONDS, ConnectionsLog
from stagewalk.gateway.ports.workers import ConnectionReason, SendPurpose

ITEM = (SendPurpose.ITEM, ConnectionReason.ALL_BUSY)
SCORE = (SendPurpose.SCORE, ConnectionReason.FIRST)


class ConnectionsLogTests(testtools.TestCase):
    def test_new_connections_are_logged_once_per_interval(self) -> None:
        counts: Counter[tuple[SendPurpose, ConnectionReason]] = Counter()
        lines: list[dict[str, object]] = []

        def record_line(_event: str, **fields: object) -> None:
            lines.append(fields)

        log = ConnectionsLog(counts.copy)
        with mock.patch("stagewalk.gateway.connections_log.log_event", record_line):
            log.write(1.0)
            counts[ITEM] += 2
            log.write(2.0)
            self.assertEqual([], lines)
            log.write(1.0 + LOG_INTERVAL_SECONDS)
            counts[ITEM] += 1
            counts[SCORE] += 1
            log.write(1.0 + 2 * LOG_INTERVAL_SECONDS)
            log.write(1.0 + 3 * LOG_INTERVAL_SECONDS)
        self.assertEqual(
            [
                {"count": 2, "by": "item/surge:2"},
                {"count": 2, "by": "item/surge:1,score/first:1"},
            ],
            lines,
        )
