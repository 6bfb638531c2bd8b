"""Plug-in registry, errors, logging, metrics, HTTP, sockets and the clock and disk interfaces."""
