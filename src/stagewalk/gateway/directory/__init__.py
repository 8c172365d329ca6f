"""Directory: which nodes serve, as the nodes themselves announce through the log."""
