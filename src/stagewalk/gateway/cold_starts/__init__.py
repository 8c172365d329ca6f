"""Cold starts: workers that withstand few requests a second, and who may send them."""
