"""What gateways and control nodes send each other: reports, and the directory of members.

Owns the messages between them, the digest of a whole directory, and the encoding of what changed
in it. Relies on ``model`` for the records, on ``scheduling`` for loads and plans, and on ``rpc``
for the frames.
"""
