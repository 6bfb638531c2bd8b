"""Client sessions: order of statements, access control, tenants' limits, and the outcome log.

Statements are run by ``gateway.work``.
"""
