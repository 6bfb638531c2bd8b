"""What a gateway learns from its control nodes: configuration, members, other gateways.

Owns the gateway's copy of the directory and the watch that keeps it up to date. Relies on
``directory`` for the messages.
"""
