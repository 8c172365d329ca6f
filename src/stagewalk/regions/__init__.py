"""Regions: how far a zone is, and in which regions a request may be served."""
