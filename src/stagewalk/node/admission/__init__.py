"""Admission control: concurrency limits, tenant shares and request queues."""
