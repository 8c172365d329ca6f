"""Measures processor time, memory and traffic, and works out what they come to at size."""
