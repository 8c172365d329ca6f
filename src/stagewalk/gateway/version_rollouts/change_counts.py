"""How many engines change to a new version of a model, and how many load at once. Pure.

Inputs are the engines of a model by the version they hold, how far behind batches let them be, and
how many models are trained. Owns these two rules; `version_rollouts.core` chooses the engines.
"""

from __future__ import annotations

from dataclasses import dataclass

MINIMUM_CONCURRENT_LOADS = 2
"""Engines that may load at the same time where there are few."""

CONCURRENT_LOADS_FRACTION = 0.4
"""Share of the engines that may load at the same time where there are many: the others serve
meanwhile, and each load is still at full speed."""

MINIMUM_CHANGE_DIVISOR = 2
"""With each version one engine in this many changes, or one in as many as there are models: a batch
of step k takes weights k-1 and newer (docs/design/0100-platform.md)."""


def loads_at_once(engines: int) -> int:
    """Return how many of the engines may load at the same time."""
    return max(MINIMUM_CONCURRENT_LOADS, int(CONCURRENT_LOADS_FRACTION * engines))


@dataclass(frozen=True, slots=True)
class ChangeRule:
    """What decides how many engines change with a version of a model.

    Attributes
    ----------
    models
        Models with a named version.
    lag
        Versions that batches let an engine be behind the newest.
    own_set
        Whether the model has engines of its own (`engine_sets`).
    half_change
        Whether only a share of the engines changes with each version.
    """

    models: int
    lag: int
    own_set: bool
    half_change: bool

    def changes(self, engines: int, behind: int, too_old: int) -> int:
        """Return how many engines should change now.

        A share of them changes with each version, and as many again still hold the one before:
        steps that allow it run on both. With one or two models on the engines that is all of them;
        with more, an engine that is too old for one model serves the others meanwhile.

        Parameters
        ----------
        engines
            Engines of the model.
        behind
            Those that neither hold the newest version nor are being brought to it.
        too_old
            Those further behind than `lag`.
        """
        share = self._share(engines)
        usable = engines - too_old
        must = max(0, self._needed(engines, share) - usable)
        return max(must, share - (engines - behind))

    def _share(self, engines: int) -> int:
        """Return how many engines should hold the newest version."""
        if not self.half_change:
            return engines
        if self.own_set:
            return -(-engines // (self.lag + 1))
        return engines // max(MINIMUM_CHANGE_DIVISOR, self.models)

    def _needed(self, engines: int, share: int) -> int:
        """Return how many engines must hold a version that batches take."""
        if self.lag > 0 and self.models > MINIMUM_CHANGE_DIVISOR and not self.own_set:
            return min(engines, (self.lag + 1) * share)
        return engines
