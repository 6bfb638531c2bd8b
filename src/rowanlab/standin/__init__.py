"""Stand-ins for external systems: database members and the platform's machine list."""
