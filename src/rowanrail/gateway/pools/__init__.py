"""Connection pools: the connections to one member and the queue of requests for them.

The connection itself is defined in :mod:`rowanrail.members.channel`.
"""
