"""Straight lines through measured points."""

import gc
import os
from pathlib import Path

import msgspec

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Point(msgspec.Struct, frozen=True):
    """One measurement: ``cost`` at ``size``."""

    size: float
    cost: float


class Slope(msgspec.Struct, frozen=True):
    """A line through the points, by least squares.

    :param per: what ``size`` counts.
    :param unit: unit of the cost; ``slope`` is in that unit for each one more.
    """

    name: str
    per: str
    unit: str
    base: float
    slope: float
    points: list[Point]

    def at(self, size: float) -> float:
        """Return the cost that the line gives for a size."""
        return self.base + self.slope * size


def fit(name: str, per: str, unit: str, points: list[Point]) -> Slope:
    """Return the least-squares line through the points."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_cost = sum(point.cost for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    together = sum((point.size - mean_size) * (point.cost - mean_cost) for point in points)
    slope = together / spread if spread else 0.0
    return Slope(name, per, unit, mean_cost - slope * mean_size, slope, points)


def fit_all(
    prefix: str,
    per: str,
    units: dict[str, str],
    sizes: list[int],
    results: list[dict[str, float]],
) -> list[Slope]:
    """Return a line for each cost that the results name.

    :param units: unit by the cost's name.
    :param results: costs by name, one set for each size.
    """
    return [
        fit(
            f"{prefix} {name}",
            per,
            unit,
            [Point(size, result[name]) for size, result in zip(sizes, results, strict=True)],
        )
        for name, unit in units.items()
    ]


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
