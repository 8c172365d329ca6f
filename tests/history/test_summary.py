"""Tests the metrics computed from observations."""

from __future__ import annotations

import testtools

from stagewalk.common.identities import WeightVersion
from stagewalk.history.answer_text import content_key, render_chunk
from stagewalk.history.observations import (
    RequestAnswered,
    RequestRefused,
    RequestSent,
    SampleAccepted,
    StepCompleted,
)
from stagewalk.history.summary import quantiles, summarize


def sent(at: float, request_id: str) -> RequestSent:
    return RequestSent(
        at=at,
        caller="c",
        node="n",
        tenant="t",
        request_id=request_id,
        repeatable=True,
        prompt="p",
        seed=1,
        expected_tokens=3,
    )


class SummaryTest(testtools.TestCase):
    def test_latency_counts_from_the_first_send_to_the_first_answer(self) -> None:
        answered = RequestAnswered(
            at=5.0, caller="c", node="m", tenant="t", request_id="a", text="", spans=()
        )
        refused = RequestRefused(
            at=6.0,
            caller="c",
            node="n",
            tenant="t",
            request_id="b",
            ran="unknown",
            kind="timeout",
            step="execution",
            peer="e",
        )
        observations = [sent(1.0, "a"), sent(2.0, "a"), answered, sent(3.0, "b"), refused]
        summary = summarize(observations)["t"]
        self.assertEqual((2, 1), (summary.requests, summary.answered))
        self.assertEqual(4.0, summary.latency_seconds.max)
        self.assertEqual(1, summary.outcome_unknown)

    def test_staleness_comes_from_the_text_and_idle_time_from_steps(self) -> None:
        text = render_chunk(content_key("p", 1), 0, 3, WeightVersion(4))
        sample = SampleAccepted(
            at=1.0,
            tenant="t",
            trainer="r",
            step=1,
            prompt_id="p",
            sample_index=0,
            sample_id="s",
            prompt="p",
            seed=1,
            expected_tokens=3,
            text=text,
            spans=(),
            trainer_version=6,
            age_seconds=2.5,
        )
        step = StepCompleted(
            at=2.0, tenant="t", trainer="r", step=1, idle_seconds=1.0, training_seconds=3.0
        )
        summary = summarize([sample, step])["t"]
        self.assertEqual(2.0, summary.staleness_versions.max)
        self.assertEqual(0.25, summary.trainer_idle_fraction)

    def test_quantiles_are_nearest_ranks(self) -> None:
        found = quantiles([float(number) for number in range(1, 101)])
        self.assertEqual((50.0, 99.0, 100.0), (found.p50, found.p99, found.max))
