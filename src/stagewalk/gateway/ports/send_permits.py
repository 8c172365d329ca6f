"""Permission to send a request to a worker: decided by the product, confirmed by the client.

A request may wait for a connection between the choice of its worker and the moment its first byte
is sent. So a client of the workers gets a permit, not an address, and confirms it just before that
byte.
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
        Name that the worker answers to.
    start
        Identity of its start, empty if that is `worker`: connections are kept to a start.
    """

    worker: str
    address: Address
    start: str = ""


Confirm = Callable[[float], Denial | None]
"""Returns why a request must not be sent at a time of the steady clock, None if it may be."""


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
        """Return why the request must not be sent now; called just before its first byte."""
        return self._confirm(now)
