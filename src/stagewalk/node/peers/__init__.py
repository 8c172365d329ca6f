"""Transport between the nodes' processes."""
