"""Tenants: identifies the tenant of a call by its API key."""
