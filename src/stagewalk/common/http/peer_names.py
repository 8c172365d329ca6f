"""Who an error of the edge names as the peer at which it arose, and when to come back."""

from __future__ import annotations

EDGE_PEER = "edge"
CALLER_PEER = "caller"

BUSY_RETRY_SECONDS = 1.0
"""When a caller that was refused because too much is open may come back."""
