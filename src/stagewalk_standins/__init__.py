"""Stand-ins for the platform's services, for tests, demo and benchmarks.

Owns processes that answer as the platform does and write what they observe; relies on
`stagewalk.history` for the form of observations and on `stagewalk.simulation` for the engine model.
Time-outs, pauses and sizes are chosen for tests on one machine; none is measured unless it says so.
"""
