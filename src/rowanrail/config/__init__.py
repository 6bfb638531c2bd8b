"""Declarative configuration and daemon settings."""
