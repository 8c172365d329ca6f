"""Version rollouts: bringing each model's named weight version to the engines."""
