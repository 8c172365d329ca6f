"""Leases on control-plane duties; their epochs serve as fencing tokens."""
