"""Rowanrail: a database proxy with session consistency."""

__version__ = "0.1.0"
