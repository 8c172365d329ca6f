"""Usage: how many requests of each tenant began to run in each window of time, reported once."""
