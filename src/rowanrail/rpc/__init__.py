"""Typed messages between the system's own processes.

Owns frames, tags and connections; a plug-in of kind ``network`` is what programs use. Relies on
``kernel`` only: what the messages say is up to the packages that register them.
"""
