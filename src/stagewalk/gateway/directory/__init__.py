"""Directory: which nodes serve callers, as the nodes announce through the log."""
