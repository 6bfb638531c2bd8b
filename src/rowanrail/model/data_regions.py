"""Regions of data: the regions in which the statements of a route and a tenant may run.

The lists of the route and of the tenant both bind. Owns the restrictions of one configuration. No
I/O; relies on :mod:`routing` for the configuration.
"""

import msgspec

from rowanrail.model.routing import Route, RoutingConfiguration
from rowanrail.tenants.model import Tenants

__all__ = ["DataRegions", "intersect_regions"]


def intersect_regions(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that two restrictions both allow; None for any.

    Examples
    --------
    >>> intersect_regions(None, frozenset({"a"})), intersect_regions(frozenset({"a"}), None)
    (frozenset({'a'}), frozenset({'a'}))
    >>> intersect_regions(frozenset({"a"}), frozenset({"b"}))
    frozenset()
    >>> intersect_regions(None, None) is None
    True
    """
    if first is None or first is second:
        return second
    return first if second is None else first & second


class DataRegions:
    """The restrictions of one configuration.

    Parameters
    ----------
    configuration : RoutingConfiguration
        Provides the routes and the tenants.
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        tenants = configuration.tenants or Tenants()
        self._version = configuration.version
        self._routes = configuration.routes
        self._by_tenant = {
            name: tenant.regions
            for name, tenant in tenants.by_name.items()
            if tenant.regions is not None
        }
        # By database and restricted tenant, so that other tenants share an entry.
        self._restricted: dict[tuple[str, str], Route] = {}

    @classmethod
    def of(cls, configuration: RoutingConfiguration) -> "DataRegions | None":
        """Return the restrictions of a configuration, None if it has none."""
        restrictions = cls(configuration)
        return restrictions if restrictions.routes or restrictions.tenants else None

    @property
    def routes(self) -> dict[str, frozenset[str]]:
        """The regions of each restricted route, by database."""
        return {
            database: route.regions
            for database, route in self._routes.items()
            if route.regions is not None
        }

    @property
    def tenants(self) -> dict[str, frozenset[str]]:
        """The regions of each restricted tenant, by name."""
        return self._by_tenant

    def route(self, database: str, tenant: str) -> Route | None:
        """Return a route with the regions of its statements by a tenant, None without a route."""
        route = self._routes.get(database)
        if route is None:
            return None
        by_tenant = self._by_tenant.get(tenant)
        if route.regions is None and by_tenant is None:
            return route
        key = database, tenant if by_tenant is not None else ""
        restricted = self._restricted.get(key)
        if restricted is None:
            restricted = self._restricted[key] = msgspec.structs.replace(
                route,
                regions=intersect_regions(route.regions, by_tenant),
                regions_version=self._version,
            )
        return restricted

    def effective(self, route: Route, tenant: str) -> frozenset[str] | None:
        """Return the regions in which a statement may run, None for any.

        The regions with which it arrived bind. Those of this configuration bind as well, unless the
        statement's come from a newer one.

        Parameters
        ----------
        route : Route
            The statement's route, possibly of another version or from another gateway.
        tenant : str
            The client's tenant.
        """
        if route.regions_version > self._version:
            return route.regions
        own = self.route(route.database, tenant)
        regions = own.regions if own is not None else self._by_tenant.get(tenant)
        return intersect_regions(route.regions, regions)
