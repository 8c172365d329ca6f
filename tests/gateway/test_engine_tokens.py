"""What an operator sees of the engines' memory."""

from __future__ import annotations

import dataclasses

import testtools
from prometheus_client.parser import text_string_to_metric_families

from stagewalk.common.logs.budget import LogBudget
from stagewalk.gateway.metrics import GatewayMetrics
from stagewalk.gateway.state_metrics import GatewayState

COUNTED = {
    field.name: {} if "dict" in str(field.type) or "Mapping" in str(field.type) else 0
    for field in dataclasses.fields(GatewayState)
    if field.default is dataclasses.MISSING
}
IDLE = GatewayState(**COUNTED)


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
