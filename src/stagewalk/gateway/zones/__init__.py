"""Zones and regions: distance, where a request may be served, evacuation of a zone."""
