"""Validation of addresses in settings and configurations."""

import socket

__all__ = ["check_address"]


def check_address(address: str) -> str | None:
    """Return the problem of an ``IP:port`` address, None if it is valid."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        return f"{address!r} is not IP:port; write for example 10.0.0.5:3306"
    if not _is_ip_number(host.strip("[]")):
        return f"{host!r} is not an IP number; names are not resolved, write the number"
    return None


def _is_ip_number(host: str) -> bool:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
    except (OSError, UnicodeError):
        return False
    return True
