"""The platform's machine list, weight store and scorer.

Owns the machines' rows, the published versions and the scores; relies on `remote_call` and
`network` for how calls travel and fail.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace

import xxhash

from stagewalk.common.identities import ModelName, WeightVersion
from stagewalk.history.observations import VersionPublished
from stagewalk.node.core.instructions import ScoreSample
from stagewalk.node.core.platform import Machine, MachineState, PublishedVersion
from stagewalk.simulation.layout import Endpoint
from stagewalk.simulation.network import Network
from stagewalk.simulation.remote_call import RemoteCall
from stagewalk.simulation.virtual_time import Action
from stagewalk.simulation.witness import Witness

CALL_TIMEOUT_SECONDS = 5.0
ORDINARY_LIST_LAG_SECONDS = 3.0
SCORING_SECONDS = 0.05
CONCURRENT_FETCHES = 4
STORE_BYTES_PER_SECOND = 4_000_000_000


class MachineListService:
    """The list of machines, served with a lag."""

    def __init__(self, network: Network, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.lag_seconds = ORDINARY_LIST_LAG_SECONDS
        self.down = False
        self._network = network
        self._rows: dict[str, Machine] = {}
        self._past: list[tuple[float, tuple[Machine, ...]]] = [(0.0, ())]

    def put(self, machine: Machine) -> None:
        """Add or replace a row."""
        self._rows[machine.name] = machine
        self._remember()

    def mark_leaving(self, name: str) -> None:
        """Mark a machine as leaving."""
        if name in self._rows:
            self._rows[name] = replace(self._rows[name], state=MachineState.LEAVING)
            self._remember()

    def remove(self, name: str) -> None:
        """Remove a machine from the list."""
        self._rows.pop(name, None)
        self._remember()

    def read(self, client: Endpoint, answered: Callable[[tuple[Machine, ...]], None]) -> None:
        """Read the list; a failure is not reported, as the reader only tries again."""

        def serve(respond: Callable[[tuple[Machine, ...]], None]) -> bool:
            if not self.down:
                respond(self._lagging())
            return not self.down

        RemoteCall(
            self._network,
            client,
            self.endpoint,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            serve=serve,
            answered=answered,
            failed=lambda _: None,
        )

    def _remember(self) -> None:
        rows = tuple(self._rows[name] for name in sorted(self._rows))
        self._past.append((self._network.scheduler.now, rows))

    def _lagging(self) -> tuple[Machine, ...]:
        as_of = self._network.scheduler.now - self.lag_seconds
        known = [rows for at, rows in self._past if at <= as_of]
        return known[-1] if known else self._past[1][1] if len(self._past) > 1 else ()


class WeightStoreService:
    """Published weights, with a limit on concurrent fetches."""

    def __init__(
        self, network: Network, endpoint: Endpoint, witness: Witness, version_bytes: int
    ) -> None:
        self.endpoint = endpoint
        self.down = False
        self.slow_factor = 1.0
        self._network = network
        self._witness = witness
        self._version_bytes = version_bytes
        self._versions: dict[ModelName, list[PublishedVersion]] = {}
        self._fetching = 0
        self._queue: deque[Callable[[bool], None]] = deque()

    def publish(self, model: ModelName, version: WeightVersion) -> None:
        """Store a version; publishing it again changes nothing."""
        known = self._versions.setdefault(model, [])
        if any(each.version == version for each in known):
            return
        now = self._network.scheduler.now
        known.append(PublishedVersion(model, version, self._version_bytes, now))
        self._witness.observe(VersionPublished(at=now, model=model, version=version))

    def superseded_at(self, model: ModelName, version: WeightVersion) -> float | None:
        """Return when a version newer than this was first published."""
        newer = [
            each.published_at for each in self._versions.get(model, ()) if each.version > version
        ]
        return min(newer) if newer else None

    def latest(self, model: ModelName) -> WeightVersion:
        """Return the newest version."""
        return max(each.version for each in self._versions[model])

    def read_versions(
        self,
        client: Endpoint,
        model: ModelName,
        answered: Callable[[tuple[PublishedVersion, ...]], None],
    ) -> None:
        """Read the list of a model's versions."""

        def serve(respond: Callable[[tuple[PublishedVersion, ...]], None]) -> bool:
            if not self.down:
                respond(tuple(self._versions.get(model, ())))
            return not self.down

        RemoteCall(
            self._network,
            client,
            self.endpoint,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            serve=serve,
            answered=answered,
            failed=lambda _: None,
        )

    def fetch(self, ended: Callable[[bool], None]) -> None:
        """Fetch one version's weights and call `ended` with whether it succeeded."""
        if self.down:
            self._network.scheduler.after(CALL_TIMEOUT_SECONDS, lambda: ended(False))
        elif self._fetching >= CONCURRENT_FETCHES:
            self._queue.append(ended)
        else:
            self._begin(ended)

    def _begin(self, ended: Callable[[bool], None]) -> None:
        self._fetching += 1
        rate = STORE_BYTES_PER_SECOND / CONCURRENT_FETCHES
        seconds = self._version_bytes / rate * self.slow_factor
        self._network.scheduler.after(seconds, lambda: self._end(ended))

    def _end(self, ended: Callable[[bool], None]) -> None:
        self._fetching -= 1
        ended(not self.down)
        if self._queue:
            self.fetch(self._queue.popleft())


class ScorerService:
    """Scores samples: idempotent, sometimes slow or failing."""

    def __init__(self, network: Network, endpoint: Endpoint, generator: random.Random) -> None:
        self.endpoint = endpoint
        self.failure_fraction = 0.0
        self._network = network
        self._generator = generator

    def score(
        self,
        client: Endpoint,
        sample: ScoreSample,
        answered: Callable[[float], None],
        failed: Action,
    ) -> None:
        """Score a sample."""

        def serve(respond: Callable[[float], None]) -> bool:
            if self._generator.random() < self.failure_fraction:
                return False
            delay = SCORING_SECONDS * (0.5 + self._generator.random())
            score = xxhash.xxh32_intdigest(sample.sample_id.encode()) / 2**32
            self._network.scheduler.after(delay, lambda: respond(score))
            return True

        RemoteCall(
            self._network,
            client,
            self.endpoint,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            serve=serve,
            answered=answered,
            failed=lambda _: failed(),
        )
