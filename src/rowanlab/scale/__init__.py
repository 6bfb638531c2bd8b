"""Slopes: what one more of something costs each role, measured on stubs."""
