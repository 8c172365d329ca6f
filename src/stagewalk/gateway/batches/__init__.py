"""Batch jobs: written to the log before they are accepted, run item by item, delivered once."""
