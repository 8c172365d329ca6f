"""Log relay: a node that can't reach the log reads and appends through another node."""
