"""SQL control node: configuration service, long polls of proxies and operators' API."""
