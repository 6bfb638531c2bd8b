"""Command line of the product."""
