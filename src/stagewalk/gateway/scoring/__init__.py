"""Calls of services that score samples: when, where, how often and with which deadline."""
