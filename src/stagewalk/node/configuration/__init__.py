"""Published configuration: templates, tenants and the state machine over the log."""
