"""The weights an engine holds, and the fenced orders about them.

Owns staged and active versions, the last epoch and swaps under way; relies on its driver to fetch
weights and report the end.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict

from stagewalk.common.identities import Epoch, ModelName, WeightVersion
from stagewalk.node.core.platform import EngineOrder, EngineOrderOutcome, OrderKind
from stagewalk.simulation.engine_messages import (
    ActivationEnded,
    EngineOutput,
    OrderAnswer,
    StagingStarted,
)
from stagewalk.simulation.platform_settings import EngineSettings

ORDERS_REMEMBERED = 256


class WeightHolder:
    """Staged and active versions of one engine, and the largest epoch it has seen.

    An order's epoch raises the fence as soon as it is seen, also when the order itself
    cannot be obeyed, so that orders of an older epoch are refused from then on.
    """

    def __init__(
        self,
        settings: EngineSettings,
        model: ModelName,
        active_version: WeightVersion,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._model = model
        self._generator = generator
        self._staged: list[WeightVersion] = []
        self._fetching: set[WeightVersion] = set()
        self._answers: OrderedDict[str, OrderAnswer] = OrderedDict()
        self._outputs: list[EngineOutput] = []
        self._target: WeightVersion | None = None
        self._failure_planned = False
        self.active_version = active_version
        self.activation_ends_at = math.inf
        self.draining = False
        self.epoch = Epoch(0)

    @property
    def activating(self) -> bool:
        """Return whether a swap of weights is going on."""
        return self._target is not None

    @property
    def staged_versions(self) -> tuple[WeightVersion, ...]:
        """Return the versions held ready, the longest held first."""
        return tuple(self._staged)

    def take_outputs(self) -> list[EngineOutput]:
        """Return what happened since the last call."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def refuse_leaving(self, order: EngineOrder) -> OrderAnswer:
        """Refuse an order because the engine is about to stop."""
        return OrderAnswer(
            EngineOrderOutcome.REFUSED, self.epoch, f"leaving; {order.kind} not obeyed"
        )

    def order(self, order: EngineOrder, now: float) -> OrderAnswer:
        """Execute an order unless a newer epoch was seen; a repeated order gets the same answer."""
        if order.epoch < self.epoch:
            return OrderAnswer(EngineOrderOutcome.STALE_EPOCH, self.epoch)
        known = self._answers.get(order.order_id)
        if known is not None:
            return known
        self.epoch = order.epoch
        answer = self._obey(order, now)
        self._answers[order.order_id] = answer
        if len(self._answers) > ORDERS_REMEMBERED:
            self._answers.popitem(last=False)
        return answer

    def stage_ended(self, version: WeightVersion, succeeded: bool) -> None:
        """Store a fetched version; a failed fetch leaves nothing behind."""
        if version not in self._fetching:
            return
        self._fetching.discard(version)
        if succeeded:
            self._add_staged(version)

    def fail_next_activation(self) -> None:
        """Make the next swap end on another version than ordered."""
        self._failure_planned = True

    def end_activation(self) -> None:
        """Finish the swap: on the ordered version or, if it fails, on another staged one."""
        ordered = self._target
        assert ordered is not None
        self._target = None
        self.activation_ends_at = math.inf
        activated = self._activated_version(ordered)
        if activated != self.active_version:
            previous = self.active_version
            self.active_version = activated
            self._staged.remove(activated)
            self._add_staged(previous)
        self._outputs.append(ActivationEnded(ordered, activated))

    def _obey(self, order: EngineOrder, now: float) -> OrderAnswer:
        match order.kind:
            case OrderKind.DRAIN:
                self.draining = True
            case OrderKind.SERVE:
                self.draining = False
            case OrderKind.STAGE | OrderKind.ACTIVATE:
                detail = self._begin(order, now)
                if detail is not None:
                    return OrderAnswer(EngineOrderOutcome.REFUSED, self.epoch, detail)
        return OrderAnswer(EngineOrderOutcome.ACCEPTED, self.epoch)

    def _begin(self, order: EngineOrder, now: float) -> str | None:
        """Begin to stage or to activate, or say why not."""
        if order.model != self._model:
            return f"model {order.model} is not held"
        if order.kind is OrderKind.STAGE:
            self._begin_stage(order.version)
            return None
        if self.activating:
            return "an activation is going on"
        if order.version == self.active_version:
            self._outputs.append(ActivationEnded(order.version, order.version))
            return None
        if order.version not in self._staged:
            return f"version {order.version} is not staged"
        self._target = order.version
        self.activation_ends_at = now + self._settings.activation_seconds
        return None

    def _begin_stage(self, version: WeightVersion) -> None:
        if version == self.active_version or version in self._staged or version in self._fetching:
            return
        self._fetching.add(version)
        self._outputs.append(StagingStarted(self._model, version))

    def _activated_version(self, ordered: WeightVersion) -> WeightVersion:
        failed = self._failure_planned
        self._failure_planned = False
        fraction = self._settings.activation_failure_fraction
        if fraction and self._generator.random() < fraction:
            failed = True
        if not failed and ordered in self._staged:
            return ordered
        others = sorted({*self._staged, self.active_version} - {ordered})
        return self._generator.choice(others)

    def _add_staged(self, version: WeightVersion) -> None:
        if version in self._staged:
            return
        self._staged.append(version)
        excess = len(self._staged) - self._settings.staged_limit
        droppable = [each for each in self._staged if each != self._target]
        for oldest in droppable[:excess] if excess > 0 else []:
            self._staged.remove(oldest)
