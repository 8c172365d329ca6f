"""The demonstration: both deployments as real processes on loopback addresses."""
