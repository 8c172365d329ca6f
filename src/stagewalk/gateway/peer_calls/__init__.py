"""Calls between nodes: a request and an answer, both opaque bytes."""
