"""Usage metering: counts each tenant's started requests by time window and reports them."""
