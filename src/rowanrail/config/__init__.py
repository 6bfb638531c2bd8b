"""Declarative configuration and settings of the daemons."""
