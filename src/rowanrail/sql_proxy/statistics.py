"""Counters of a group at one proxy.

For the runners of statements, which count, and the report, which reads. The fields are names of
metrics.
"""

import msgspec


class GroupStatistics(msgspec.Struct):
    """Counters since the start of the proxy."""

    replica_reads: int = 0
    primary_reads: int = 0
    primary_only_reads: int = 0
    writes: int = 0
    refused: int = 0
    unknown: int = 0
    repeated: int = 0

    def count_read(self, on_primary: bool, replica_allowed: bool) -> None:
        """Count a read; those that the rules keep on the primary are counted apart."""
        if not replica_allowed:
            self.primary_only_reads += 1
        elif on_primary:
            self.primary_reads += 1
        else:
            self.replica_reads += 1
