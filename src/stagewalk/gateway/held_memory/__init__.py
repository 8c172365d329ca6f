"""Memory budget for bodies, answers and streams, and eviction of slow readers."""
