"""How a statement runs at members: autocommit reads and writes, transactions.

Owns a statement's time, its attempts and its one answer. Relies on ``gateway.services`` for a
member and on ``gateway.pools`` for a connection.
"""
