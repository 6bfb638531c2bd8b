"""Replicated log: pure state machine, storage and the shell around them."""
