"""What the node needs of the outside, as protocols."""
