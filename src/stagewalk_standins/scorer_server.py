"""Stand-in for the scoring service; a score is a hash of prompt and text."""

from __future__ import annotations

import random

import anyio
import msgspec
import xxhash

from stagewalk_standins.event_log import log_event
from stagewalk_standins.web import Answer, Application, Request, json_response, problem_response

SCORE_STEPS = 1000


class ScoreBody(msgspec.Struct, frozen=True):
    """A sample to score."""

    sample_id: str
    tenant: str
    prompt: str
    text: str


class ScorerServer:
    """Scores samples after a delay and fails a fraction of calls."""

    def __init__(self, seconds: float, failure_fraction: float, generator: random.Random) -> None:
        self._seconds = seconds
        self._failure_fraction = failure_fraction
        self._generator = generator

    def application(self) -> Application:
        """Return the routes of the service."""
        application = Application()
        application.route("POST", "/score", self._score)
        return application

    async def _score(self, request: Request) -> Answer:
        body = request.decode(ScoreBody)
        await anyio.sleep(self._seconds)
        if self._generator.random() < self._failure_fraction:
            log_event("scoring_failed", sample_id=body.sample_id)
            return problem_response(503, "unavailable", "try again", retry_after_seconds=1.0)
        digest = xxhash.xxh64_intdigest(f"{body.prompt}\x00{body.text}".encode())
        score = (digest % SCORE_STEPS) / SCORE_STEPS
        return json_response({"sample_id": body.sample_id, "score": score})
