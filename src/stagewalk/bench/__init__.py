"""Measures processor time, memory and traffic, and extrapolates them to the planned size.

Writes docs/capacity.json and the generated part of docs/CAPACITY.md. The measurements run the
node's own components and stand-in processes.
"""
