"""Deterministic simulation of nodes and platform on a virtual clock.

Owns the models of machines, network, platform and callers around the real node; relies on
`stagewalk.node` for the node and on `stagewalk.history` for the verdict.
"""
