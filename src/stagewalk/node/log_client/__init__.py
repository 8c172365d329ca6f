"""Client of the append-only log: ordered reads, and appends that are safe to retry."""
