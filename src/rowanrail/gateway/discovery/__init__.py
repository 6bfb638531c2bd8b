"""Discovery of the configuration, members and other gateways from the control nodes.

Keeps the gateway's copy of the directory up to date and passes updates to the gateway. Depends on
``directory`` for the messages and on ``rpc`` for the calls.
"""
