"""Load generation, and the oracles that verify its results."""
