"""Autoscaling: how many workers to order in each zone, regular or spot."""
