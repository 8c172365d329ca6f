"""Tests of the requests subsystem."""
