"""Worker state as seen by this node, and the selection of a worker for each request."""
