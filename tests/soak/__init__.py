"""A fault soak of the programs on the platform, on real processes before stand-in members.

``python -m tests.soak --seconds 120 --seed 7`` runs it; ``tests/soak/test_soak.py`` runs a
short one. Only the soak starts and ends processes, and only its own.
"""
