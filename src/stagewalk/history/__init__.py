"""Observations of callers, engines and operators, and the checker that judges them."""
