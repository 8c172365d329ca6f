"""Reloading settings changes timing only; invalid settings change nothing."""

from __future__ import annotations

import dataclasses

import testtools
from expression import Error, Ok

from stagewalk.common.settings.addresses import settings_error
from stagewalk.gateway.assembly import Dependencies
from stagewalk.gateway.daemon import Gateway
from stagewalk.gateway.settings import Timing
from tests.gateway.memory_log import MemoryLog
from tests.gateway.memory_workers import MemoryWorkers
from tests.gateway.plain_dialect import PlainDialect
from tests.gateway.support import gateway_settings


class ReloadTests(testtools.TestCase):
    def gateway(self, loaded) -> Gateway:
        dependencies = Dependencies(MemoryLog().client(), MemoryWorkers(), PlainDialect())
        return Gateway(gateway_settings("n1"), dependencies, lambda: loaded)

    def test_only_timing_changes_without_a_restart(self) -> None:
        changed = dataclasses.replace(
            gateway_settings("n1"), timing=Timing(lease_quiet=9.0), name="other"
        )
        gateway = self.gateway(Ok(changed))
        gateway.reload()
        self.assertEqual((9.0, "n1"), (gateway.settings.timing.lease_quiet, gateway.settings.name))

    def test_invalid_settings_change_nothing(self) -> None:
        gateway = self.gateway(Error(settings_error("name", "bad")))
        before = gateway.settings
        gateway.reload()
        self.assertEqual(before, gateway.settings)
