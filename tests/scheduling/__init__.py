"""Decisions under load."""
