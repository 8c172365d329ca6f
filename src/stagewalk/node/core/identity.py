"""Identity of this process, as used by cores that talk to other nodes.

A protocol, so that cores don't depend on how the daemon creates the identity.
"""

from __future__ import annotations

from typing import Protocol

from stagewalk.common.identities import Address, ProcessIdentity


class AddressedIdentity(ProcessIdentity, Protocol):
    """A process and its peer address; `NodeIdentity` satisfies it."""

    @property
    def address(self) -> Address:
        """Return the address for other nodes, over UDP and TCP."""
