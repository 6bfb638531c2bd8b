"""Logs the restrictions to regions of a configuration, and region names that are unknown."""

from rowanrail.gateway.events import REGIONS_APPLIED, REGIONS_UNKNOWN
from rowanrail.gateway.services.locality import Locality
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.model.data_regions import DataRegions

LISTED_NAMES = 10  # bounds the log line

__all__ = ["log_restrictions", "unknown_regions"]


def unknown_regions(restrictions: DataRegions, locality: Locality) -> dict[str, list[str]]:
    """Return the region names without a configured zone, with the routes and tenants naming them.

    A route is listed by its database, a tenant by its name.
    """
    known = set(locality.regions.values()) | {locality.region}
    found: dict[str, list[str]] = {}
    for kind, bound in (("route", restrictions.routes), ("tenant", restrictions.tenants)):
        for name, regions in bound.items():
            for region in sorted(regions - known):
                found.setdefault(region, []).append(f"{kind} {name}")
    return found


def log_restrictions(
    decisions: DecisionLog, restrictions: DataRegions, locality: Locality, version: int
) -> None:
    """Log how many routes and tenants a configuration binds to regions, and unknown regions."""
    routes, tenants = len(restrictions.routes), len(restrictions.tenants)
    decisions.note(REGIONS_APPLIED, version=version, routes=routes, tenants=tenants)
    unknown = unknown_regions(restrictions, locality)
    if unknown:
        named_by = sorted({name for names in unknown.values() for name in names})
        decisions.note(
            REGIONS_UNKNOWN,
            version=version,
            regions=sorted(unknown)[:LISTED_NAMES],
            named_by=named_by[:LISTED_NAMES],
        )
