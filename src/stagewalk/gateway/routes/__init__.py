"""Routes: which service a request belongs to, by host and path."""
