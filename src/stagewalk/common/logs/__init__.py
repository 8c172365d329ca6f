"""Logs: events as lines, a budget that bounds them, and a writer that never blocks."""
