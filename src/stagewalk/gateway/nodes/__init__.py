"""What gateways know of each other."""
