"""Load, oracle and measurements."""
