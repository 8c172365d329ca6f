"""Ports: protocols of the external services that the node uses."""
