"""The proxy path for front ends that hand over typed statements.

From a client down to a member: ``sessions`` take statements, ``work`` runs them, ``services``
choose a member, ``pools`` hold its connections; ``relay`` has other gateways run them,
``discovery`` follows the control nodes. ``gateway`` joins these, ``daemon`` is the process.
Decisions are event driven and free of I/O: time comes from a scheduler, a member's answers from
its driver, and no task or future is created for a statement.
"""
