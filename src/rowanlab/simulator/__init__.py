"""Deterministic simulation in virtual time."""
