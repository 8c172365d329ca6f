"""Completion requests: claim, admission, attempts, retries and the final answer."""
