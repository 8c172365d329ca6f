"""Directory: which nodes serve, told by the nodes themselves through the log."""
