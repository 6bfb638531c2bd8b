"""One gateway's or control node's own view of single members.

Owns the port to a member's connection (:mod:`channel`), the samples that prove a primary's
position (:mod:`samples`) and which member leads a service (:mod:`primary`). Gateways and the
control nodes' failover duty both use it.
"""
