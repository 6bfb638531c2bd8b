"""MySQL protocol: the server for clients and the driver for back ends."""
