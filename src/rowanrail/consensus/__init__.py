"""Raft: the consensus state machine, its durable storage and the node that runs them."""
