"""Tests of the node daemon's shell, with a scripted core."""
