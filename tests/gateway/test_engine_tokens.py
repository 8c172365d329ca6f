"""The gauge of tokens expected at each engine."""

from __future__ import annotations

import dataclasses

import testtools
from prometheus_client.parser import text_string_to_metric_families

from stagewalk.common.logs.budget import LogBudget
from stagewalk.gateway.metrics import GatewayMetrics
from stagewalk.gateway.state_metrics import GatewayState

ZERO_VALUES = {
    field.name: {} if "dict" in str(field.type) or "Mapping" in str(field.type) else 0
    for field in dataclasses.fields(GatewayState)
    if field.default is dataclasses.MISSING
}
IDLE = GatewayState(**ZERO_VALUES)


class EngineTokensTests(testtools.TestCase):
    def test_expected_tokens_are_exported_for_each_engine(self) -> None:
        state = dataclasses.replace(IDLE, engine_tokens={"e1": 710, "e2": 20})
        text = GatewayMetrics(lambda: state, LogBudget()).render().decode()
        exported = {
            sample.labels["engine"]: sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name == "stagewalk_engine_expected_tokens"
        }
        self.assertEqual({"e1": 710.0, "e2": 20.0}, exported)
