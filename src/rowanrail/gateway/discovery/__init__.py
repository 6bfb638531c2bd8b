"""What a gateway learns from its control nodes: configuration, members, other gateways.

Owns the gateway's copy of the directory, and the calls that keep it up to date. Relies on
``directory`` for the messages and on ``rpc`` for calls; hands what is new to the gateway.
"""
