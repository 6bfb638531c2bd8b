"""Cluster membership of control nodes: startup, admission and removal.

Shared by both kinds of control nodes; relies on ``consensus`` for the replicated log.
"""
