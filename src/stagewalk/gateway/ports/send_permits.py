"""Permission to send a request to a worker: issued by the gateway, confirmed by the client.

After its worker is chosen, a request may wait for a connection while the worker becomes ineligible.
So the client gets a permit instead of an address, and confirms it just before the first byte.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.denials import Denial


@dataclass(frozen=True, slots=True)
class WorkerTarget:
    """The address to send to, and the worker expected there.

    Attributes
    ----------
    worker
        Name of the worker.
    start
        Identity of the worker's process, empty if that is `worker`; connections are not reused
        across restarts.
    """

    worker: str
    address: Address
    start: str = ""


Confirm = Callable[[float], Denial | None]
"""Called with a steady time; returns why the request must not be sent then, None if it may."""


@final
class SendPermit:
    """Permission to send one request to one worker, issued by `gateway.eligibility` only.

    Parameters
    ----------
    target
        The worker.
    confirm
        Checks eligibility again, and counts the request as sent if it may be.
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
