"""Decisions under load, apart from I/O: what may run now, where, and what is refused.

Everything here takes plain data and times in milliseconds and says what to do; ``gateway`` and
``relay`` carry it out. Nothing here knows a connection, a socket or a message.
"""
