"""Chooses the engine for an attempt and records the outcome of attempts.

The engine table lists the eligible engines, `outliers` drops the ejected ones and `choice` selects
one of the rest.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.identities import (
    Address,
    AttemptId,
    EngineName,
    ModelName,
    ProcessIdentity,
    WeightVersion,
)
from stagewalk.node.core.completions import CompletionRequest
from stagewalk.node.routing.choice import EngineChooser
from stagewalk.node.routing.config import RouterConfig
from stagewalk.node.routing.engine_record import EngineRecord
from stagewalk.node.routing.engine_table import EngineTable, PoolView
from stagewalk.node.routing.outliers import record_failure, record_success, without_outliers
from stagewalk.node.routing.prefix_index import PrefixBlockHashes, PrefixIndex, hash_blocks
from stagewalk.node.routing.scoring import CompletionTimeModel, expected_tokens, shape_of

NO_ENGINE_RETRY_AFTER_SECONDS = 1.0
"""Retry-After if no engine can serve a request: time for two polls of each engine."""


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """The engine chosen for an attempt.

    Attributes
    ----------
    version
        Weight version the engine last reported.
    """

    engine: EngineName
    address: Address
    version: WeightVersion


def version_suits(request: CompletionRequest, version: WeightVersion | None) -> bool:
    """Return whether a weight version may serve a request."""
    if version is None:
        return False
    if request.minimum_version is not None and version < request.minimum_version:
        return False
    return request.maximum_version is None or version <= request.maximum_version


class Router:
    """Chooses engines among those with a valid report.

    Parameters
    ----------
    identity
        This node; its placement determines the penalty of other zones.
    engine_table
        State of the engines; the router records all attempts in it.
    generator
        Random generator for sampling engines.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        engine_table: EngineTable,
        config: RouterConfig,
        generator: random.Random,
    ) -> None:
        self._table = engine_table
        self._config = config
        self._prefix_index = PrefixIndex(config.prefix_index)
        model = CompletionTimeModel(identity.placement, config, self._prefix_index)
        self._chooser = EngineChooser(config.choices, model, self._prefix_index, generator)
        self._last_prompt = ""
        self._last_blocks: PrefixBlockHashes = ()

    def choose(
        self, request: CompletionRequest, excluded: frozenset[EngineName], now: float
    ) -> Result[EngineChoice, StagewalkError]:
        """Return the engine for an attempt, or a `NO_ENGINE` error with `ran: no`."""
        self._table.record_demand(now)
        serving = self._table.eligible(request.model, now)
        suitable = self._suitable(request, serving, excluded)
        if not suitable:
            return Error(self._no_engine(request, len(serving), len(excluded)))
        candidates = without_outliers(suitable, self._config.outlier, now)
        shape = shape_of(request, self._blocks_of(request.prompt), self._config)
        chosen = self._chooser.choose(shape, candidates, now)
        version = chosen.version
        if version is None:
            return Error(self._no_engine(request, len(serving), len(excluded)))
        return Ok(EngineChoice(chosen.name, chosen.machine.address, version))

    def pool_view(self, model: ModelName, now: float) -> PoolView:
        """Return this node's view of the engines that serve a model."""
        return self._table.pool_view(model, now)

    def record_started(
        self, engine: EngineName, attempt: AttemptId, request: CompletionRequest, now: float
    ) -> None:
        """Record that an attempt was sent."""
        tokens = expected_tokens(request, self._config.score)
        self._table.record_started(engine, attempt, tokens, now)
        record = self._table.record(engine)
        if record is not None:
            self._prefix_index.record_sent(record, self._blocks_of(request.prompt))

    def record_progress(self, attempt: AttemptId) -> None:
        """Record that an attempt's engine generates."""
        self._table.record_progress(attempt)

    def record_finished(self, engine: EngineName, attempt: AttemptId, now: float) -> None:
        """Record that an attempt completed successfully."""
        record = self._table.record(engine)
        self._table.record_ended(attempt, now)
        if record is not None:
            record_success(record)

    def record_cancelled(self, attempt: AttemptId, now: float) -> None:
        """Record that this node cancelled an attempt; it doesn't count as an engine failure."""
        self._table.record_ended(attempt, now)

    def record_refused(
        self,
        engine: EngineName,
        attempt: AttemptId,
        retry_after_seconds: float | None,
        now: float,
    ) -> bool:
        """Record that an engine refused an attempt; return whether it looked full."""
        self._table.record_ended(attempt, now)
        return self._table.record_refused(engine, retry_after_seconds, now)

    def record_failed(self, engine: EngineName, attempt: AttemptId, now: float) -> None:
        """Record that an attempt failed at an engine or on the way to it."""
        record = self._table.record(engine)
        self._table.record_ended(attempt, now)
        if record is not None:
            record_failure(record, self._config.outlier, now)

    def _blocks_of(self, prompt: str) -> PrefixBlockHashes:
        """Return a prompt's blocks, cached so that `choose` and `record_started` hash it once."""
        if prompt is not self._last_prompt:
            self._last_prompt = prompt
            self._last_blocks = hash_blocks(prompt, self._config.prefix_index)
        return self._last_blocks

    def _suitable(
        self,
        request: CompletionRequest,
        serving: list[EngineRecord],
        excluded: frozenset[EngineName],
    ) -> list[EngineRecord]:
        """Return the serving engines that aren't excluded and have a suitable version."""
        unbounded = request.minimum_version is None and request.maximum_version is None
        if unbounded and not excluded:
            return serving
        return [
            record
            for record in serving
            if record.name not in excluded and version_suits(request, record.version)
        ]

    def _no_engine(self, request: CompletionRequest, serving: int, excluded: int) -> StagewalkError:
        return StagewalkError(
            kind=ErrorKind.NO_ENGINE,
            step=ErrorStep.ROUTING,
            peer=str(request.model),
            detail=(
                f"no engine may take the request: {serving} serve the model, {excluded} were "
                f"tried, versions allowed: {request.minimum_version} to {request.maximum_version}"
            ),
            ran=ExecutionStatus.NO,
            retry_after_seconds=NO_ENGINE_RETRY_AFTER_SECONDS,
        )
