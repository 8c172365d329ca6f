"""Services that score texts, with faults of their own, and the truth of what they were asked."""

from __future__ import annotations

import hashlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import anyio

from tests.soak.asgi import Call, LostAnswer, Reply, Send
from tests.soak.workers import WorkerServer, events_of

SCORE_SECONDS = 0.02
LATE_SECONDS = 1.2
FAULTS = {"late": 0.08, "lost": 0.04, "another's": 0.04, "unsigned": 0.03, "failing": 0.03}
"""Share of calls that meet each fault."""

ONE_IN_ALWAYS_FAILS = 24
SCORE_ATTEMPTS = 2
"""`max_attempts` of the route of scores, and of batches."""

SERVER_ERROR = 500


def score_call_of(item: str) -> str:
    """Return the id of an item's score call."""
    return f"{item}-score"


def always_fails(call: str) -> bool:
    """Whether a call is answered 500 whenever it is made."""
    return int(hashlib.sha256(call.encode()).hexdigest(), 16) % ONE_IN_ALWAYS_FAILS == 0


@dataclass
class ScoreTruth:
    """What scorers were asked and said, by call."""

    signed: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    failures: Counter[str] = field(default_factory=Counter)
    failed: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    """By call, when and at which scorer each failure was."""
    calls: list[tuple[str, bool]] = field(default_factory=list)
    """Each call that came, and whether its text was whole by then."""


class ScorerServer(WorkerServer):
    """A worker that scores."""

    scores: ScoreTruth

    async def _run(self, call: Call, send: Send) -> Reply | None:
        name = call.headers["x-request-id"]
        item = name.removesuffix("-score")
        self.scores.calls.append((name, events_of(item) in self._truth.made[item]))
        if always_fails(name):
            return self._fail(name, call)
        fault = self._draw()
        await anyio.sleep(LATE_SECONDS if fault == "late" else SCORE_SECONDS * self.slow)
        if fault == "lost":
            raise LostAnswer
        if fault == "failing":
            return self._fail(name, call)
        headers = dict(self._headers(call))
        if fault == "another's":
            headers["x-request-id"] = f"{name}-not"
            headers["x-response-signature"] = "another's"
            return Reply(200, b"score", tuple(headers.items()))
        if fault == "unsigned":
            del headers["x-response-signature"]
            return Reply(200, b"score", tuple(headers.items()))
        signature = f"{self.name}/{name}/{len(self.scores.signed[name])}"
        self.scores.signed[name].add(signature)
        headers["x-response-signature"] = signature
        return Reply(200, b"score", tuple(headers.items()))

    def _fail(self, name: str, call: Call) -> Reply:
        self.scores.failures[name] += 1
        at = f"{anyio.current_time():.2f} s at {self.name}"
        self.scores.failed[name].append(at)
        return Reply(SERVER_ERROR, b"", self._headers(call))

    def _draw(self) -> str:
        kinds, weights = list(FAULTS), list(FAULTS.values())
        sound = 1.0 - sum(weights)
        return self._chooser.choices([*kinds, "none"], [*weights, sound])[0]
