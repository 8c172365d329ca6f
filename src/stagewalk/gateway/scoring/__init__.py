"""Score calls: requests to services that score samples, with retries and hedging."""
