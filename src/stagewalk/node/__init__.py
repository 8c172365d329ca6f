"""The node daemon: pure core and the shell that carries its instructions out."""
