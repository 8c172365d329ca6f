"""Forwarding of callers' opaque requests to workers: attempts, retries, hedging and streams."""
