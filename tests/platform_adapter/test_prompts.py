"""Prompts decoded from items' headers, and engine limits decoded from the configuration."""

from __future__ import annotations

import json
from unittest import mock

import testtools

from stagewalk.gateway.batches.prompt import Prompt, PromptPart
from stagewalk.gateway.batches.records import BatchItem
from stagewalk.gateway.ports.partitioned_log import KeyedRecord
from stagewalk.gateway.routes.route import EngineLimits, Service
from stagewalk_platform.dialect import PlatformDialect

ENGINE = {"slots": 6, "kv_capacity_tokens": 27650, "stride": 59, "models": [{"name": "m"}]}


def item(**headers: str) -> BatchItem:
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return BatchItem("x", "/p/x", pairs, b"", "g", "m", 0)


def prompt_of(**headers: str) -> Prompt:
    return PlatformDialect().prompt(item(**headers))


class PromptTests(testtools.TestCase):
    def test_parts_and_the_maximum_of_output_tokens(self) -> None:
        prompt = prompt_of(x_token_count="540,400", x_prefix_hash="9c2e41:300,5d07b8:240")
        self.assertEqual((PromptPart("9c2e41", 300), PromptPart("5d07b8", 240)), prompt.parts)
        self.assertEqual((540, 400), (prompt.tokens, prompt.maximum_output_tokens))

    def test_header_names_are_case_insensitive(self) -> None:
        prompt = PlatformDialect().prompt(
            BatchItem("x", "/p", (("X-Token-Count", "5, 7"),), b"", "g", "m", 0)
        )
        self.assertEqual(Prompt((PromptPart("x", 5),), 7), prompt)

    def test_a_length_without_parts_becomes_one_part(self) -> None:
        self.assertEqual(Prompt((PromptPart("x", 540),)), prompt_of(x_token_count="540"))

    def test_malformed_headers_are_treated_as_missing(self) -> None:
        self.assertEqual(Prompt(), prompt_of())
        for value in ("", "many", "-5,3", "5.5,x", ",", "\u0665,\u0667"):
            self.assertEqual((), prompt_of(x_token_count=value).parts, value)
            self.assertIn(prompt_of(x_token_count=value).maximum_output_tokens, (None, 3))
        for value in ("9c:", "9c", "9c:30,5d:x", ":", "9c:-1"):
            self.assertEqual((), prompt_of(x_prefix_hash=value).parts, value)


class EngineLimitsTests(testtools.TestCase):
    def _service(self, service: dict[str, object]) -> Service | None:
        value = json.dumps({"version": 8, "routes": [], "services": [service]}).encode()
        decoded = PlatformDialect().decode_operator_record(KeyedRecord("config", value, 3))
        return decoded.services[0]

    def test_memory_and_the_tokens_of_an_event(self) -> None:
        service = self._service({"name": "s", "engine": ENGINE})
        self.assertEqual(EngineLimits(27_650, 59.0), service.engine)

    def test_limits_are_unknown_without_a_memory_size(self) -> None:
        self.assertIsNone(self._service({"name": "s"}).engine)
        for engine in ({}, None, {"slots": 6}, {"kv_capacity_tokens": None}):
            with mock.patch("stagewalk_platform.configuration.log_event") as log:
                self.assertIsNone(self._service({"name": "s", "engine": engine}).engine)
            self.assertEqual(engine is None, log.called)
        service = self._service({"name": "s", "engine": {"kv_capacity_tokens": 5}})
        self.assertEqual(EngineLimits(5, 1.0), service.engine)

    def test_an_invalid_section_is_logged_and_the_configuration_still_used(self) -> None:
        for engine in (
            "big",
            [1],
            {"kv_capacity_tokens": "5"},
            {"kv_capacity_tokens": 0},
            {"kv_capacity_tokens": 5, "stride": -1},
        ):
            with mock.patch("stagewalk_platform.configuration.log_event") as log:
                self.assertIsNone(self._service({"name": "s", "engine": engine}).engine)
            log.assert_called_once_with("engine_limits_unusable", "warning", service="s")
