"""How many requests may run at once, and whose turn it is."""
