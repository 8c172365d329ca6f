"""Peer names in errors of the HTTP edge, and its retry delay under overload."""

from __future__ import annotations

EDGE_PEER = "edge"
CALLER_PEER = "caller"

BUSY_RETRY_AFTER_SECONDS = 1.0
"""Retry delay for a caller that was refused because too many calls or bodies are open."""
