"""Connections to members and tracking of a service's primary.

Contains the interface to a member's connection (:mod:`channel`), samples of a primary's position
(:mod:`samples`) and the tracker that finds the primary (:mod:`primary`). Used by gateways and by
the failover duty of control nodes.
"""
