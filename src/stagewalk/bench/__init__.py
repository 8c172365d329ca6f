"""Measures processor time, memory and traffic, and works out what they come to at size.

Owns docs/capacity.json and the generated part of docs/CAPACITY.md; relies on the node's real parts
and on stand-in processes. Counts of repeated units are chosen long enough for a straight line.
"""
