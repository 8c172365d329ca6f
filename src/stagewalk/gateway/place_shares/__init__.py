"""Shares of engines' places among trainers and tenants that run at different nodes."""
