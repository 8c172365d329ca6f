"""Types shared by all cores: identities, errors, events and instructions."""
