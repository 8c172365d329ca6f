"""Protocols behind which the platform's services stand."""
