"""Membership: how gateway nodes announce themselves and judge each other's state."""
