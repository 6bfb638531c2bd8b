"""Data that several packages share: positions, statements and answers, routes, members.

Plain values without behaviour; nothing here does I/O or keeps state. Relies on ``tenants`` for
the owners of keys.
"""
