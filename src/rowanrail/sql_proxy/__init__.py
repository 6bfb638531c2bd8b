"""Sessions, routing, pools and confirmation."""
