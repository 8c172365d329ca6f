"""Who goes first when forwarded requests are more than a service's workers have room for."""
