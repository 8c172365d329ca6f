"""Online prediction of answer lengths, so that the longest rollouts start first.

Predictions are moving averages by prompt, prompt family and tenant, in tokens.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import xxhash

from stagewalk.common.identities import TenantName
from stagewalk.node.core.rollouts import RolloutPrompt

MAXIMUM_PREDICTOR_ENTRIES = 20_000
"""Most moving averages kept; the least recently used are evicted first."""

_SMOOTHING = 0.2
"""Least weight of a new length in a moving average."""

_PRIOR_STRENGTH = 2.0
"""Number of observations at which an estimate has the same weight as the coarser one."""

_UNKNOWN_SHARE_OF_LIMIT = 0.5
"""Predicted fraction of `max_tokens` without any observations of a tenant."""


@dataclass(slots=True)
class _MovingMean:
    mean: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(_SMOOTHING, 1.0 / self.count)
        self.mean += weight * (value - self.mean)


class LengthPredictor:
    """Moving averages of answer lengths by prompt, by prompt family and by tenant.

    A fine estimate is shrunk towards the coarser one while it has few observations.
    """

    def __init__(self, maximum_entries: int = MAXIMUM_PREDICTOR_ENTRIES) -> None:
        self._maximum_entries = maximum_entries
        self._means: OrderedDict[tuple[str, str], _MovingMean] = OrderedDict()

    def observe(self, tenant: TenantName, prompt: RolloutPrompt, token_count: int) -> None:
        """Record the length of a finished answer, in tokens."""
        for level in _levels(prompt):
            key = (tenant, level)
            mean = self._means.setdefault(key, _MovingMean())
            mean.add(token_count)
            self._means.move_to_end(key)
        while len(self._means) > self._maximum_entries:
            self._means.popitem(last=False)

    def predict(self, tenant: TenantName, prompt: RolloutPrompt) -> float:
        """Return the expected length of an answer to a prompt, in tokens."""
        estimate = prompt.max_tokens * _UNKNOWN_SHARE_OF_LIMIT
        for level in _levels(prompt):
            mean = self._means.get((tenant, level))
            if mean is None:
                continue
            weight = mean.count / (mean.count + _PRIOR_STRENGTH)
            estimate += weight * (mean.mean - estimate)
        return min(estimate, float(prompt.max_tokens))


def prompt_family(prompt_id: str) -> str:
    """Return the family of a prompt: its id without the number at its end."""
    return prompt_id.rstrip("0123456789").rstrip("-_./:#")


def _levels(prompt: RolloutPrompt) -> tuple[str, str, str]:
    """Return the keys of the averages that apply to a prompt, coarsest first."""
    digest = xxhash.xxh64_hexdigest(prompt.prompt.encode())
    return ("", f"family/{prompt_family(prompt.prompt_id)}", f"prompt/{digest}")
