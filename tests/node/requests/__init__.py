"""Tests of `stagewalk.node.requests`."""
