"""Settings read again while a gateway runs.

Owns which settings may change without a restart: the section `timing` and no other.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from expression import Result

from stagewalk.common.errors import StagewalkError
from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.settings import GatewaySettings

SettingsLoader = Callable[[], Result[GatewaySettings, StagewalkError]]
"""Reads the settings again."""


class LiveSettings:
    """The settings in force, which a running gateway may read again.

    Parameters
    ----------
    load_again
        None: settings stay as they are.
    """

    def __init__(self, settings: GatewaySettings, load_again: SettingsLoader | None) -> None:
        self._settings = settings
        self._load_again = load_again

    @property
    def current(self) -> GatewaySettings:
        """Return the settings in force now."""
        return self._settings

    def reload(self) -> None:
        """Read the settings again and put in force what may change while the process runs."""
        if self._load_again is not None:
            self._settings = reload_settings(self._settings, self._load_again())


def reload_settings(
    before: GatewaySettings, loaded: Result[GatewaySettings, StagewalkError]
) -> GatewaySettings:
    """Return the settings in force from now on: timing changes, anything else at the next start.

    Settings that can't be read leave those in force as they are.
    """
    if loaded.is_error():
        log_event("settings_refused", "warning", error=str(loaded.error))
        return before
    after = loaded.ok
    waiting = [
        field.name
        for field in dataclasses.fields(after)
        if field.name != "timing" and getattr(before, field.name) != getattr(after, field.name)
    ]
    log_event(
        "settings_read",
        timing_changed=before.timing != after.timing,
        waiting_for_restart=",".join(waiting),
    )
    return dataclasses.replace(before, timing=after.timing)
