"""Explains from logs what became of a request, a batch or an item."""
