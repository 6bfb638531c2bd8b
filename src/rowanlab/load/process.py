"""What a process uses, as the system tells it."""

import gc
import os
from pathlib import Path

__all__ = ["processor_seconds", "resident_bytes"]

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(pid: int | None = None) -> int:
    """Return the resident memory of a process, of this one by default."""
    if pid is None:
        gc.collect()
    fields = Path(f"/proc/{pid or os.getpid()}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
