"""A test fleet of processes on one machine."""
