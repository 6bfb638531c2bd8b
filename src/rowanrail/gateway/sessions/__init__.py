"""Clients' sessions: their statements in order, who may run them, and what became of them.

Owns session state, access checks and tenants' limits, and the log of outcomes. Relies on
``gateway.work`` for running statements.
"""
