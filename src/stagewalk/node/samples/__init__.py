"""Sample ledger: rollout lots and their slots, delivery cursors and staleness checks."""
