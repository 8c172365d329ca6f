"""Protobuf messages between nodes; generated modules are committed."""
