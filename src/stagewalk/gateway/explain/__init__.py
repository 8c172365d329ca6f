"""Reconstructs from logs what happened to a request, a batch or an item."""
