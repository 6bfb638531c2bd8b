"""Data types shared by several packages: positions, statements and answers, routes, members.

Plain values without I/O or state. Depends on ``tenants`` for the owners of keys.
"""
