"""stagewalk: a rollout service for reinforcement learning over a shared pool of model engines."""
