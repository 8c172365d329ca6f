"""Duties of the control plane: leases with epochs that serve as fencing tokens."""
