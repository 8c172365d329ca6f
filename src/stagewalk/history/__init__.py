"""Observations of callers, engines and operators, and the checker that verifies them."""
