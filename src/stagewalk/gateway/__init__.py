"""The gateway daemon: forwards callers' requests along routes and runs trainers' batches."""
