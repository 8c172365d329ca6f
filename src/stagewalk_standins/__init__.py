"""Stand-ins for the platform's services, for tests, demo and benchmarks.

Each runs as its own process, speaks the platform's HTTP protocol and records observations in the
format of `stagewalk.history`. Engines use the model in `stagewalk.simulation`.
"""
