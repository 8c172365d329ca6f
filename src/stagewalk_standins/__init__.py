"""Stand-ins for the platform's services, for tests, demo and benchmarks."""
