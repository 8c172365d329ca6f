"""Protocols of the platform's services, implemented by adapters."""
