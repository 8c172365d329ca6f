"""Modules shared by the node and the gateway."""
