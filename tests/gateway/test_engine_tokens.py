"""What an operator sees of the engines' memory."""

from __future__ import annotations

import dataclasses

import testtools
from prometheus_client.parser import text_string_to_metric_families

from stagewalk.common.logs.budget import LogBudget
from stagewalk.gateway.metrics import GatewayMetrics, GatewayState

IDLE = GatewayState(*[0] * 3, *[False] * 3, *[0] * 7, view_ages={}, engine_tokens={})


class EngineTokensTests(testtools.TestCase):
    def test_the_tokens_expected_of_each_engine_are_shown(self) -> None:
        state = dataclasses.replace(IDLE, engine_tokens={"e1": 710, "e2": 20})
        text = GatewayMetrics(lambda: state, LogBudget()).render().decode()
        shown = {
            sample.labels["engine"]: sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name == "stagewalk_engine_expected_tokens"
        }
        self.assertEqual({"e1": 710.0, "e2": 20.0}, shown)
