"""Outcomes of ended requests, retained so that a resubmission gets the same answer.

Held in bounded memory; after a restart only claims keep a request from running twice.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import RequestKey
from stagewalk.node.core.completions import CompletionResult
from stagewalk.node.requests.claim_value import ClaimValue
from stagewalk.node.requests.config import MemoryConfig


@dataclass(frozen=True, slots=True)
class RetainedOutcome:
    """How a request ended at this node.

    Attributes
    ----------
    result, error
        The final answer, if there was one.
    may_have_run
        Whether an engine may have executed any part of it.
    claim
        The claim this node proposed for it, if any. If the request never ran, a resubmission
        proposes the same value again and can still win.
    expires_at
        Node's clock, seconds.
    """

    fingerprint: str
    repeatable: bool
    may_have_run: bool
    expires_at: float
    result: CompletionResult | None = None
    error: StagewalkError | None = None
    claim: ClaimValue | None = None

    @property
    def characters(self) -> int:
        """Return the size of the text it holds."""
        return 0 if self.result is None else len(self.result.text)


class RetainedOutcomes:
    """Bounded memory of ended requests; the oldest are evicted first.

    Requests that are not repeatable have a separate store, so that repeatable ones can't evict
    them.
    """

    def __init__(self, config: MemoryConfig) -> None:
        self._stores = {True: _Store(config), False: _Store(config)}

    def get(self, key: RequestKey, now: float) -> RetainedOutcome | None:
        """Return how a request ended, if that is still known."""
        for store in self._stores.values():
            outcome = store.outcomes.get(key)
            if outcome is not None:
                return outcome if outcome.expires_at > now else None
        return None

    def put(self, key: RequestKey, outcome: RetainedOutcome) -> None:
        """Store an outcome, replacing any earlier one."""
        for store in self._stores.values():
            store.drop(key)
        self._stores[outcome.repeatable].put(key, outcome)

    def expire(self, now: float) -> None:
        """Drop the oldest outcomes that have expired."""
        for store in self._stores.values():
            store.expire(now)

    def __len__(self) -> int:
        return sum(len(store.outcomes) for store in self._stores.values())


class _Store:
    def __init__(self, config: MemoryConfig) -> None:
        self._config = config
        self.outcomes: OrderedDict[RequestKey, RetainedOutcome] = OrderedDict()
        self._characters = 0

    def put(self, key: RequestKey, outcome: RetainedOutcome) -> None:
        self.outcomes[key] = outcome
        self._characters += outcome.characters
        while self._over_bounds():
            self.drop(next(iter(self.outcomes)))

    def drop(self, key: RequestKey) -> None:
        outcome = self.outcomes.pop(key, None)
        if outcome is not None:
            self._characters -= outcome.characters

    def expire(self, now: float) -> None:
        while self.outcomes:
            key = next(iter(self.outcomes))
            if self.outcomes[key].expires_at > now:
                return
            self.drop(key)

    def _over_bounds(self) -> bool:
        too_many = len(self.outcomes) > self._config.maximum_retained
        return too_many or self._characters > self._config.maximum_retained_characters
