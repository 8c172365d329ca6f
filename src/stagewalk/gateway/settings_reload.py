"""Reloads settings while a gateway runs.

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
"""Loads the settings from their source."""


class LiveSettings:
    """The current settings, which a running gateway may reload.

    Parameters
    ----------
    load_again
        None: the settings can't be reloaded.
    """

    def __init__(self, settings: GatewaySettings, load_again: SettingsLoader | None) -> None:
        self._settings = settings
        self._load_again = load_again

    @property
    def current(self) -> GatewaySettings:
        """Return the current settings."""
        return self._settings

    def reload(self) -> None:
        """Reload the settings and apply those that may change while the process runs."""
        if self._load_again is not None:
            self._settings = reload_settings(self._settings, self._load_again())


def reload_settings(
    before: GatewaySettings, loaded: Result[GatewaySettings, StagewalkError]
) -> GatewaySettings:
    """Return the settings after a reload: only `timing` is replaced.

    Changes of other settings are logged as waiting for a restart; invalid settings change nothing.
    """
    if loaded.is_error():
        log_event("settings_refused", "warning", error=str(loaded.error))
        return before
    after = loaded.ok
    pending = [
        field.name
        for field in dataclasses.fields(after)
        if field.name != "timing" and getattr(before, field.name) != getattr(after, field.name)
    ]
    log_event(
        "settings_read",
        timing_changed=before.timing != after.timing,
        waiting_for_restart=",".join(pending),
    )
    return dataclasses.replace(before, timing=after.timing)
