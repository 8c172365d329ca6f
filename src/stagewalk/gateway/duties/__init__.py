"""Work that one gateway does for all, under a lease."""
