"""Autoscaling: how many workers are ordered, where, and of which kind."""
