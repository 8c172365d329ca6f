"""Requests that crash the workers that run them: found, published to all nodes, held back."""
