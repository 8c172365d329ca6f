"""The load header holds three or four numbers; anything else is ignored and logged once."""

from __future__ import annotations

from unittest import mock

import httpx
import testtools

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.send_permits import WorkerTarget
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk_platform import load_header, names
from stagewalk_platform.load_header import LoadHeaderReader, parse_load


class ParseLoadTest(testtools.TestCase):
    def test_three_numbers_do_not_include_the_pace(self) -> None:
        self.assertEqual(WorkerLoad(3, 2, 6, None), parse_load("3,2,6"))

    def test_the_fourth_number_is_the_pace_in_percent(self) -> None:
        self.assertEqual(WorkerLoad(3, 2, 6, 1.0), parse_load("3,2,6,100"))
        self.assertEqual(WorkerLoad(3, 2, 6, 2.5), parse_load(" 3, 2,6 ,250"))

    def test_malformed_headers_are_rejected(self) -> None:
        malformed = ("", "3,2", "3,2,6,", "3,2,6,100,1", "3,2,0", "3,2,6,0", "-1,2,6", "3,2,6,1.5")
        for text in (*malformed, "3,2,six", "٣,2,6", "1" * 40 + ",0,6"):
            self.assertIsNone(parse_load(text), text)


class LoadHeaderReaderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reader = LoadHeaderReader()
        self.logged = self.start_log()

    def start_log(self) -> mock.Mock:
        patcher = mock.patch.object(load_header, "log_event")
        self.addCleanup(patcher.stop)
        return patcher.start()

    def read(self, start: str, stated: str | None) -> WorkerLoad | None:
        headers = {} if stated is None else {names.INSTANCE_LOAD: stated}
        target = WorkerTarget("w", Address("10.0.0.1", 80), start)
        return self.reader.read(httpx.Response(200, headers=headers), target)

    def test_a_missing_header_is_not_logged(self) -> None:
        self.assertIsNone(self.read("w@1", None))
        self.assertEqual(0, self.logged.call_count)

    def test_a_malformed_header_is_logged_once_per_worker_start(self) -> None:
        for _ in range(3):
            self.assertIsNone(self.read("w@1", "3,2,six"))
        self.assertEqual(1, self.logged.call_count)
        self.assertIsNone(self.read("w@2", "x" * 500))
        self.assertEqual(2, self.logged.call_count)
        stated = self.logged.call_args.kwargs["stated"]
        self.assertEqual(load_header.MAXIMUM_LOGGED_CHARACTERS, len(stated))

    def test_a_valid_header_is_used_after_a_malformed_one(self) -> None:
        self.read("w@1", "3,2")
        self.assertEqual(WorkerLoad(3, 2, 6, 1.2), self.read("w@1", "3,2,6,120"))

    def test_the_number_of_remembered_workers_is_bounded(self) -> None:
        for n in range(load_header.MAXIMUM_MALFORMED_WORKERS + 1):
            self.read(f"w@{n}", "?")
        self.read(f"w@{load_header.MAXIMUM_MALFORMED_WORKERS}", "?")
        self.assertEqual(load_header.MAXIMUM_MALFORMED_WORKERS + 1, self.logged.call_count)
        self.read("w@0", "?")
        self.assertEqual(load_header.MAXIMUM_MALFORMED_WORKERS + 2, self.logged.call_count)
