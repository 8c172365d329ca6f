"""Decoding and validation of settings files."""
