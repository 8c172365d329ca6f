"""Tests of the admission subsystem."""
