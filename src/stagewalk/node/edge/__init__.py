"""HTTP edge of a node: callers, trainers and operators."""
