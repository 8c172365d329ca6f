"""Forwarding: which attempts a caller's opaque request gets, and what it is answered."""
