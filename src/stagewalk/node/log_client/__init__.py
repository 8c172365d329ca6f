"""Client of the append-only log: ordered reads, and appends whose lost answers are settled."""
