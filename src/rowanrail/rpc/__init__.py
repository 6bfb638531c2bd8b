"""Typed messages between the system's own processes.

Programs use a plug-in of kind ``network``. Message types are defined and registered by the packages
that exchange them; this package depends only on ``kernel``.
"""
