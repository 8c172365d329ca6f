"""The gateway daemon: forwards callers' requests by routes and runs trainers' batches."""
