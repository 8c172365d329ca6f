"""Routes: map requests to services by host and path."""
