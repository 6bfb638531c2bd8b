"""Tenants: whose key a client holds, and how many operations a tenant may run.

Decisions only, no I/O. The gateway asks; the operator's configuration says who there is.
"""
