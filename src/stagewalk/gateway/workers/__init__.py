"""Workers: what is known of each, and which one a request goes to."""
