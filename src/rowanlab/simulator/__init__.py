"""Deterministic simulation of the system in virtual time."""
