"""Rollout of weight versions over a pool of engines."""
