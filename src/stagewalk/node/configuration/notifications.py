"""Notification that the follower returns for the node's other cores."""

from __future__ import annotations

from dataclasses import dataclass

from stagewalk.node.configuration.parameters import Tenant


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """The configuration changed; `tenants` are all tenants in force, sorted by name.

    `offset` is the offset after the last record applied. It never decreases within a process.
    """

    tenants: tuple[Tenant, ...]
    offset: int
