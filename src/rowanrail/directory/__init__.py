"""What gateways and control nodes tell each other.

Owns the messages between them, the digest of a whole directory, and the encoding of what changed
in it. Relies on ``model`` for the records and on ``rpc`` for the frames.
"""
