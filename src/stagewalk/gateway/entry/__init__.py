"""Callers' entry: requests, streams and calls of one gateway."""
