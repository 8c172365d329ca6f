"""A lease that is kept in a partition of the log."""
