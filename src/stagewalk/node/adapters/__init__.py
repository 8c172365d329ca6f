"""HTTP clients of the platform's services, one per port."""
