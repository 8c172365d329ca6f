"""Checks the promises while the soak runs, from what callers and workers see."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from tests.soak.scorers import SCORE_ATTEMPTS, ScoreTruth, always_fails, score_call_of
from tests.soak.workers import Truth, answer_to, text_of

SUCCESS = 200
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass
class BatchSeen:
    """A batch as its trainer knows it, and all that was ever shown of it."""

    items: tuple[str, ...]
    minimum_version: int
    accepted: bool = False
    accepted_at: float = math.inf
    """When it was accepted (monotonic clock)."""
    ended: bool = False
    positions: dict[int, dict] = field(default_factory=dict)
    host: str = "h.example"

    @property
    def complete(self) -> bool:
        return len(self.positions) == len(self.items)


class Checker:
    """Collects violations; `checked` counts how often each promise was looked at."""

    def __init__(self, truth: Truth, scores: ScoreTruth) -> None:
        self.truth = truth
        self.scores = scores
        self.batches: dict[str, BatchSeen] = {}
        self.violations: list[str] = []
        self.checked: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.once: set[str] = set()
        self._fences: dict[str, int] = {}

    def expect(self, promise: str, holds: bool, detail: str) -> None:
        self.checked[promise] += 1
        if not holds:
            self.violations.append(f"{promise}: {detail}")

    def answered(
        self, request: str, body: bytes, status: int, content: bytes, genuine: bool
    ) -> None:
        """Take a whole answer a caller got to its request."""
        self.outcomes[f"request {status}"] += 1
        if status == SUCCESS:
            whole = genuine and content == answer_to(request, body)
            self.expect("the whole answer to its own request", whole, f"{request}: {content!r}")
        elif status in PROMISES_NOT_RUN:
            self.refused.add(request)

    def shown(self, batch: str, position: int, answer: dict, node: str) -> None:
        """Take a page of results."""
        seen = self.batches[batch]
        self.expect(
            "the number of items", answer["total"] == len(seen.items), f"{batch} {answer['total']}"
        )
        for number, result in enumerate(answer["results"], start=position):
            known = seen.positions.setdefault(number, result)
            self.expect(
                "a position never changes",
                known == result,
                f"{batch}[{number}] at {node}: {known} then {result}",
            )
            self._check_result(batch, seen, result)
        listed = [result["id"] for result in seen.positions.values()]
        self.expect("each item once", len(listed) == len(set(listed)), f"{batch}: {listed}")

    def _check_result(self, batch: str, seen: BatchSeen, result: dict) -> None:
        item = result["id"]
        self.expect("only its own items", item in seen.items, f"{batch}: {item}")
        if result["state"] != "succeeded":
            failed = self.scores.failures[score_call_of(item)] >= SCORE_ATTEMPTS
            allowed = seen.ended or failed
            self.expect("nothing is given up early", allowed, f"{batch}: {item} {result['state']}")
            return
        call = score_call_of(item)
        own = result.get("score") in self.scores.signed[call]
        self.expect("the score of its own text", own, f"{item}: {result.get('score')}")
        self.expect("the whole text", result["text"] == text_of(item), f"{item}: {result['text']}")
        versions = set(result["versions"])
        made = self.truth.made[item]
        named = set().union(*made.values()) if made else set()
        truly = versions <= named and all(versions & by for by in made.values())
        self.expect("the versions that made it", truly, f"{item}: {versions}, made by {dict(made)}")
        fresh = min(versions, default=0) >= seen.minimum_version
        self.expect("no version too old", fresh, f"{item}: {versions} < {seen.minimum_version}")

    def check_at_the_end(self) -> None:
        """Check what holds over the whole soak."""
        for request in self.refused:
            runs = self.truth.runs[request]
            self.expect("a refused request never runs", runs == 0, f"{request} ran {runs} times")
        for request in self.once:
            runs = self.truth.runs[request]
            self.expect("at most once", runs <= 1, f"{request} ran {runs} times")
        for batch, seen in self.batches.items():
            if seen.accepted and not seen.ended:
                self.expect(
                    "an accepted batch is done",
                    seen.complete,
                    f"{batch}: {len(seen.positions)} of {len(seen.items)}",
                )
        for call, whole in self.scores.calls:
            self.expect("a score only of a whole text", whole, call)
        for call, failures in self.scores.failures.items():
            if always_fails(call):
                enough = failures <= 3 * SCORE_ATTEMPTS
                detail = f"{call}: {failures} times ({'; '.join(self.scores.failed[call])})"
                self.expect("a failing score is given up", enough, detail)
        for worker, orders in self.truth.fences.items():
            fences = [fence for fence, _ in orders]
            self.expect("the fence only grows", fences == sorted(fences), f"{worker}: {orders}")
            holders = {fence: holder for fence, holder in orders}
            single = all(holders[fence] == holder for fence, holder in orders)
            self.expect("one holder for a fence", single, f"{worker}: {orders}")
