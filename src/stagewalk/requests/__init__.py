"""State machine of one request: attempts, retries, resumption and its final answer."""
