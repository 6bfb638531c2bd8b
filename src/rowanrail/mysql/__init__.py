"""MySQL protocol adapters towards callers and back ends."""
