"""The life of a completion request: claim, admission, attempts, retries, one final answer."""
