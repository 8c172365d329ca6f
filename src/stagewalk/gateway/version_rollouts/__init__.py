"""Version rollouts: ordering engines to load the named weight version of each model."""
