"""Published configuration: templates, tenants and the deterministic fold over the log."""
