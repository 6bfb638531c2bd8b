"""SQL proxy: sessions, statement routing, connection pools and confirmation of writes."""
