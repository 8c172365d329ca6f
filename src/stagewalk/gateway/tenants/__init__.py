"""Tenants: whose a call is, by the key that comes with it."""
