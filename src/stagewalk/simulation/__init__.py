"""Deterministic simulation of nodes and platform on a virtual clock."""
