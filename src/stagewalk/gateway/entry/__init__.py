"""HTTP endpoints of one gateway: forwarded requests, streams, and the gateway's own calls."""
