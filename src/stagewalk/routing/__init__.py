"""Choice of the engine for an attempt."""
