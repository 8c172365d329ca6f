"""Rate limiting of requests to cold workers, across all nodes."""
