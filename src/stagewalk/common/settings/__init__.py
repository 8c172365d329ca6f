"""A process's own settings file: addresses, zone and platform services."""
