"""Plug-in registry, errors, events, lifecycle and the disk port."""
