"""Memory held for callers and workers that send or read slowly: its bound, and who makes room."""
