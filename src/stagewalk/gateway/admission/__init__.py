"""Admission control for forwarded requests: concurrency limits, fair queueing and rejection."""
