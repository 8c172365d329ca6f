"""Tenants' shares, concurrency limits and load shedding."""
