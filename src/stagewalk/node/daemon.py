"""The daemon: carries the core's instructions out over sockets and feeds events back."""
