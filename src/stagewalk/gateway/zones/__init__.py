"""Zones and regions: distances, allowed regions and evacuations."""
