"""Calls between nodes: one request, one answer, both of bytes."""
