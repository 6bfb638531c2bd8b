"""Stand-ins for the outside systems."""
