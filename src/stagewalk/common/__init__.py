"""Parts that the node and the gateway share."""
