"""Rollout lots, their slots, the delivery cursor and the staleness gate."""
