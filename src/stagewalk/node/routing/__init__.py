"""Routing of requests to engines: engine health, scoring and selection."""
