"""Scheduling decisions without I/O: what may run now, on which member, and what is rejected.

The functions take plain data and times in milliseconds and return decisions, which ``gateway`` and
``relay`` carry out. They do not depend on connections, sockets or messages.
"""
