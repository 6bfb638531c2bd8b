"""Reports of gateways to control nodes, and the directory of members that they get.

Defines the messages, the digest of a full directory, and the encoding of its updates. Relies on
``model`` for the records, on ``scheduling`` for loads and plans, and on ``rpc`` for the frames.
"""
