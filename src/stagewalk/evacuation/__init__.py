"""Evacuation: zones whose workers get nothing new, as operators ask."""
