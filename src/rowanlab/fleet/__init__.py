"""Processes of a test fleet on one machine."""
