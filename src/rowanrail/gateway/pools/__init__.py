"""Connections to one member and the queue for them.

Owns which connections are idle, leased or being opened, and who waits for one. Relies on
``members`` for the connection itself.
"""
