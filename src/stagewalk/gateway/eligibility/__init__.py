"""Eligibility: whether a request may be sent to a worker, decided in one place."""
