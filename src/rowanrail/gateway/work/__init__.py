"""Execution of statements at members: autocommit reads and writes, and transactions.

The rules are pure functions in ``attempts`` (time limits, retries, what a member's answer means),
``refusals`` (deferral, rejection, Retry-After) and ``freshness`` (floors of reads). The classes in
``statement``, ``connected``, ``operation``, ``autocommit_read``, ``autocommit_write`` and
``transaction`` apply them. ``gateway.services`` selects a member, ``gateway.pools`` provides the
connection.
"""
