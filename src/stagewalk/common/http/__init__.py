"""HTTP servers, exchanges and clients shared by the node and the gateway."""
