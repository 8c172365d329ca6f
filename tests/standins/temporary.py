"""Directories that live as long as a test."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools


def temporary_directory(test: testtools.TestCase) -> Path:
    directory = tempfile.TemporaryDirectory()
    test.addCleanup(directory.cleanup)
    return Path(directory.name)
