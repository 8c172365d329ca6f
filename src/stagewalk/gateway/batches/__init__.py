"""Batch jobs: kept in the log before they are accepted, run item by item, delivered once."""
