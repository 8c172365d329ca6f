"""Command line of the product: one module per subcommand."""
