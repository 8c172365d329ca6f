"""Group membership: failure detection and gossip between nodes."""
