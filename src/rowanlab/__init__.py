"""Test laboratory: stand-ins, fleet, simulator, load and reports."""
