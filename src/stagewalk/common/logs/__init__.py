"""Log events formatted as lines, a rate limit for them, and a writer that never blocks."""
