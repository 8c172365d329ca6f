"""Running of batches: choice of the runner, sending of items and scores, takeover."""
