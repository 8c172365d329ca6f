"""Operators of both partners, who publish concurrent changes on the log.

Owns the changes published and what their operators observe; relies on `log_service` and on the
product's own fold to know whether a change was accepted.
"""

from __future__ import annotations

import random
from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum, auto
from functools import partial
from typing import Any

import msgspec
import simpy

from stagewalk.common.identities import RecordId, TenantName
from stagewalk.history.observations import PublishAnswered
from stagewalk.node.configuration.outcomes import ChangeAccepted
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.configuration.records import (
    CONFIGURATION_STREAM,
    AnyChange,
    ChangeParameters,
    CreateTenant,
    encode_change,
)
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine
from stagewalk.simulation.layout import Endpoint, Layout, TenantSite
from stagewalk.simulation.log_service import LogPage, LogService
from stagewalk.simulation.virtual_time import Scheduler, Steps
from stagewalk.simulation.witness import Witness

STALE_BASE_FRACTION = 0.2
FOREIGN_FRACTION = 0.05
OVERCOMMITTED_FRACTION = 0.05
RETRY_SECONDS = 2.0
CHANGES_START_SECONDS = 10.0
"""Delay until all tenants exist: an earlier change of a share could block a creation."""


@dataclass(frozen=True, slots=True)
class OperatorWorld:
    """Parts of the simulated world that operators use."""

    scheduler: Scheduler
    log: LogService
    witness: Witness
    layout: Layout


class _Append(Enum):
    LANDED = auto()
    NOT_SENT = auto()
    UNKNOWN = auto()


class Operator:
    """One operator of a partner.

    It follows the log with a fold of its own, bases its changes on what it has read, and
    learns their outcome from the log, also when the append's answer was lost.
    """

    def __init__(
        self,
        world: OperatorWorld,
        name: str,
        partner: str,
        endpoint: Endpoint,
        generator: random.Random,
    ) -> None:
        self.name = name
        self.partner = partner
        self._world = world
        self._endpoint = endpoint
        self._generator = generator
        self._fold = ConfigurationStateMachine()
        self._published = 0

    def run(self, creates_tenants: bool) -> Steps:
        """Create the partner's tenants, if that is this operator's part, then change them."""
        if creates_tenants:
            for site in self._own_sites():
                yield from self._publish(self._creation(site))
        yield self._world.scheduler.sleep(CHANGES_START_SECONDS)
        while True:
            wait = self._generator.expovariate(1.0 / self._world.layout.change_interval_seconds)
            yield self._world.scheduler.sleep(wait)
            yield from self._catch_up()
            change = self._draw_change()
            if change is not None:
                yield from self._publish(change)

    def _own_sites(self) -> list[TenantSite]:
        return [site for site in self._world.layout.tenants if site.partner == self.partner]

    def _creation(self, site: TenantSite) -> CreateTenant:
        return CreateTenant(
            operator=self.name,
            partner=self.partner,
            tenant=site.name,
            base_revision=0,
            template=site.template,
            parameters=site.parameters,
        )

    def _draw_change(self) -> AnyChange | None:
        """Draw a change: most are valid, some are stale, foreign or overcommit capacity."""
        foreign = self._generator.random() < FOREIGN_FRACTION
        sites = list(self._world.layout.tenants) if foreign else self._own_sites()
        site = self._generator.choice(sites)
        tenant = self._fold.tenants.get(site.name)
        if tenant is None:
            return None
        stale = self._generator.random() < STALE_BASE_FRACTION
        return ChangeParameters(
            operator=self.name,
            partner=self.partner,
            tenant=TenantName(site.name),
            base_revision=max(0, tenant.revision - int(stale)),
            parameters=self._draw_parameters(site, tenant.parameters),
        )

    def _draw_parameters(self, site: TenantSite, current: TenantParameters) -> TenantParameters:
        draw = self._generator.random()
        if draw < OVERCOMMITTED_FRACTION:
            return msgspec.structs.replace(current, capacity_share=1.0)
        if draw < 0.5:
            bound = self._generator.choice((0, 1, 1, 2))
            return msgspec.structs.replace(current, staleness_bound_versions=bound)
        if draw < 0.75:
            share = site.parameters.capacity_share * self._generator.uniform(0.7, 1.0)
            return msgspec.structs.replace(current, capacity_share=share)
        weight = round(self._generator.random(), 2)
        return msgspec.structs.replace(current, idle_weight=weight)

    def _publish(self, change: AnyChange) -> Steps:
        """Append a change and wait until the log shows its outcome."""
        self._published += 1
        record_id = RecordId(f"{self.name}/{self._published}")
        landed = yield from self._append(record_id, encode_change(change))
        if not landed:
            return
        while (outcome := self._fold.outcome_of(record_id)) is None:
            yield from self._read()
        self._world.witness.observe(
            PublishAnswered(
                at=self._world.scheduler.now,
                operator=self.name,
                record_id=record_id,
                accepted=isinstance(outcome, ChangeAccepted),
                detail=str(outcome),
            )
        )

    def _append(self, record_id: RecordId, payload: bytes) -> Generator[simpy.Event, Any, bool]:
        """Append a record once; a lost answer is settled by reading the log back."""
        while True:
            yield from self._catch_up()
            settled = self._world.scheduler.signal()
            self._world.log.append(
                self._endpoint,
                CONFIGURATION_STREAM,
                record_id,
                payload,
                answered=partial(_append_answered, settled),
                failed=partial(_append_failed, settled),
            )
            result: _Append = yield settled
            if result is _Append.LANDED:
                return True
            if result is _Append.UNKNOWN:
                yield self._world.scheduler.sleep(RETRY_SECONDS)
                yield from self._catch_up()
                return self._fold.outcome_of(record_id) is not None
            yield self._world.scheduler.sleep(RETRY_SECONDS)

    def _catch_up(self) -> Generator[simpy.Event, Any, int]:
        """Read up to the head of the stream and return it."""
        while True:
            page = yield from self._read()
            if page is not None and self._fold.offset >= page.head:
                return page.head

    def _read(self) -> Generator[simpy.Event, Any, LogPage | None]:
        """Read and fold what follows; None if the log did not answer."""
        arrival = self._world.scheduler.signal()
        self._world.log.read(
            self._endpoint,
            CONFIGURATION_STREAM,
            self._fold.offset,
            answered=lambda page: _settle(arrival, page),
            failed=lambda _: _settle(arrival, None),
        )
        page: LogPage | None = yield arrival
        if page is None:
            yield self._world.scheduler.sleep(RETRY_SECONDS)
            return None
        for record in page.records:
            self._fold.apply(record)
        return page


def _settle(arrival: simpy.Event, page: LogPage | None) -> None:
    arrival.succeed(page)


def _append_answered(settled: simpy.Event, _: int) -> None:
    settled.succeed(_Append.LANDED)


def _append_failed(settled: simpy.Event, sent: bool) -> None:
    settled.succeed(_Append.UNKNOWN if sent else _Append.NOT_SENT)
