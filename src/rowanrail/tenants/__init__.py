"""Tenants: identification of clients by key, and limits on tenants' operations.

Pure decisions without I/O, made for the gateway from the operator's configuration.
"""
