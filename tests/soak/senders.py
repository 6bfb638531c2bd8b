"""Finds the process at the other end of a loopback connection."""

import contextlib
import os
import subprocess
from collections.abc import Mapping
from pathlib import Path

__all__ = ["find_sender"]


def find_sender(port: int, processes: Mapping[str, subprocess.Popen[bytes]]) -> str:
    """Return the name of the process that connected from a local port, "" if none did."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    sockets = {f"socket:[{row[9]}]" for row in rows if row[1].endswith(f":{port:04X}")}
    for name, process in processes.items():
        folder = Path(f"/proc/{process.pid}/fd")
        with contextlib.suppress(OSError):  # the process has ended
            if any(os.readlink(folder / entry) in sockets for entry in os.listdir(folder)):
                return name
    return ""
