"""How many engines change to a new version of a model, and how many load at once. Pure.

Inputs are the engines of a model by the version they hold, the version lag that batches accept,
and how many models are trained. `version_rollouts.core` chooses the engines.
"""

from __future__ import annotations

from dataclasses import dataclass

MINIMUM_CONCURRENT_LOADS = 2
"""Lower bound on the number of engines that may load at the same time."""

CONCURRENT_LOADS_FRACTION = 0.4
"""Fraction of the engines that may load at the same time: the others serve meanwhile, and the loads
do not slow each other down."""

MINIMUM_CHANGE_DIVISOR = 2
"""Unless a model has its own set of engines, one engine in this many changes with each version, or
one in the number of models if that is larger. Batches of step k accept weights k-1 and newer
(docs/design/0100-platform.md)."""


def loads_at_once(engines: int) -> int:
    """Return how many of the engines may load at the same time."""
    return max(MINIMUM_CONCURRENT_LOADS, int(CONCURRENT_LOADS_FRACTION * engines))


@dataclass(frozen=True, slots=True)
class ChangeRule:
    """Inputs for how many engines change to a new version of a model.

    Attributes
    ----------
    models
        Number of models with a named version.
    lag
        How many versions behind the newest an engine may be for batches to use it.
    own_set
        Whether the model has its own set of engines (`engine_sets`).
    half_change
        Whether only a fraction of the engines changes with each version.
    """

    models: int
    lag: int
    own_set: bool
    half_change: bool

    def changes(self, engines: int, behind: int, too_old: int) -> int:
        """Return how many engines should change now.

        A share of the engines changes with each version. The same number still holds the previous
        version, which steps that allow a lag accept too. With one or two models the two groups are
        all engines; with more, an engine too old for one model serves the others meanwhile.

        Parameters
        ----------
        engines
            Number of engines of the model.
        behind
            How many of them neither hold the newest version nor are ordered to load it.
        too_old
            How many of them are further behind than `lag`.
        """
        share = self._share(engines)
        usable = engines - too_old
        required = max(0, self._needed(engines, share) - usable)
        return max(required, share - (engines - behind))

    def _share(self, engines: int) -> int:
        """Return how many engines should hold the newest version."""
        if not self.half_change:
            return engines
        if self.own_set:
            return -(-engines // (self.lag + 1))
        return engines // max(MINIMUM_CHANGE_DIVISOR, self.models)

    def _needed(self, engines: int, share: int) -> int:
        """Return how many engines must hold a version that batches accept."""
        if self.lag > 0 and self.models > MINIMUM_CHANGE_DIVISOR and not self.own_set:
            return min(engines, (self.lag + 1) * share)
        return engines
