"""Fault-injection soak test of the platform programs, as processes with stand-in members.

Run it with ``python -m tests.soak --seconds 120 --seeds 7``; ``tests/soak/test_soak.py`` is a
short run. It starts and ends only its own processes.

``run`` has the clients and the faults of processes and members, ``zone_faults`` those of lives,
zones and regions, which are off beside an earlier version; ``oracle`` and ``zone_rules`` check.
"""
