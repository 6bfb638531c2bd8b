"""Counters of a group at one proxy; the names of the fields are part of the metric names."""

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
        """Count a read; reads that may only run on the primary have a counter of their own."""
        if not replica_allowed:
            self.primary_only_reads += 1
        elif on_primary:
            self.primary_reads += 1
        else:
            self.replica_reads += 1
