"""How a statement runs at members: autocommit reads and writes, transactions.

Owns a statement's time, its attempts and its one answer. The rules stand in ``attempts`` (how
long, how often, what an answer of a member means), ``refusals`` (deferral, rejection, Retry-After)
and ``freshness`` (floors); ``statement``, ``connected``, ``operation`` and the kinds of work ask
them and act. Relies on ``gateway.services`` for a member and on ``gateway.pools`` for a
connection.
"""
