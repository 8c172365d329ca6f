"""Submission, storage and reading of batches."""
