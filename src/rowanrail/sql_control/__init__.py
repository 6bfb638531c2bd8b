"""Control node: configuration service, watch streams and operators' API."""
