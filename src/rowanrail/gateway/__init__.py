"""The proxy for front ends that pass typed statements.

On the way from a client to a member, ``sessions`` accept statements, ``work`` executes them,
``services`` choose a member and ``pools`` hold its connections; ``relay`` forwards statements to
other gateways, and ``discovery`` polls the control nodes. ``gateway`` combines these, and
``daemon`` is the process. Decisions are event driven and free of I/O: time comes from a scheduler,
a member's answers come from its driver, and no task or future is created per statement.
"""
