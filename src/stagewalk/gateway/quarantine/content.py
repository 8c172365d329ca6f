"""What makes two requests the same to a worker, whoever sends them. Pure.

Owns the digest by which crashes are counted, logged and published.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

DIGEST_BYTES = 16
"""Nobody can find two requests with one digest of this length (2**64 tries for a chance of a half),
so a caller can't have a request taken for another one."""

_PURPOSE = b"request content"


@dataclass(slots=True)
class RequestContent:
    """Method, host, path with query and body: what a worker's run depends on.

    Identifiers, deadlines and the place from which a stream goes on differ from attempt to attempt,
    and a request that crashes a worker does so for any caller. So none of these counts.
    """

    method: str
    host: str
    target: str
    body: bytes
    _digest: str = field(default="", init=False, compare=False, repr=False)

    @property
    def digest(self) -> str:
        """Return its digest in hexadecimal, computed on first use.

        It takes 4 us, and 2.7 us for each kilobyte of body: none is computed before any crash is
        known.
        """
        if not self._digest:
            hashed = hashlib.blake2b(digest_size=DIGEST_BYTES, person=_PURPOSE)
            for part in (self.method, self.host.lower(), self.target):
                encoded = part.encode(errors="surrogateescape")
                hashed.update(len(encoded).to_bytes(4, "big") + encoded)
            hashed.update(self.body)
            self._digest = hashed.hexdigest()
        return self._digest
