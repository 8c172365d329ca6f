"""Where a request runs: evidence about engines, scores, and policies to choose by."""
