"""Requests that crash the workers that run them: found, told to all nodes, held back."""
