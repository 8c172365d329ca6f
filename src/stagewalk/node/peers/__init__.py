"""Message transport between nodes."""
