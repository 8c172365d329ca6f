"""Deterministic simulation of nodes and platform on a virtual clock.

Owns the models of machines, network, platform and callers around the real node; relies on
`stagewalk.node` for the node and on `stagewalk.history` for the verdict. The rates, delays and
sizes of the models are set so that faults exercise the mechanisms; none is measured unless its
comment says so.
"""
