"""Permission to send a request to a worker: decided by the product, confirmed by the client.

A request may wait for a connection between the moment it is meant for a worker and the moment its
first byte goes. So a client of the workers takes a permit, not an address, and confirms it just
before that byte.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.denials import Denial


@dataclass(frozen=True, slots=True)
class WorkerTarget:
    """Where to send, and which worker must be there.

    Attributes
    ----------
    worker
        What the worker answers to.
    start
        Identity of its start, empty if that is `worker`: connections are kept to a start.
    """

    worker: str
    address: Address
    start: str = ""


Confirm = Callable[[float], Denial | None]
"""Tells why a request must not be sent at a time of the steady clock, None if it may be."""


@final
class SendPermit:
    """Permission to send one request to one worker; only `gateway.eligibility` issues any.

    Parameters
    ----------
    target
        The worker.
    confirm
        Judges the request once more, and counts it as sent if it may be.
    """

    def __init__(self, target: WorkerTarget, confirm: Confirm) -> None:
        self._target = target
        self._confirm = confirm

    @property
    def target(self) -> WorkerTarget:
        """Return the worker."""
        return self._target

    def confirm(self, now: float) -> Denial | None:
        """Return why the request must not be sent now; to be asked as its first byte is to go."""
        return self._confirm(now)
