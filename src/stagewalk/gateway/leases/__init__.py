"""The gateway's lease on a partition of the log."""
