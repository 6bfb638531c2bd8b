"""How limits of tenants are judged, and to which counts they are held.

A value made from the settings, and functions of it without state: the limit in a window, the count
to which a tenant is held, and what is assumed of a window of which nothing is known.
"""

from dataclasses import dataclass

from rowanrail.tenants.model import Tenant

__all__ = ["URGENT_MARGIN", "USED_MARGIN", "QuotaParameters"]

# Of what is tolerated beyond the limit, so that nothing is refused below it though the sums are a
# little late, and though a side's part of the demand is not exactly its part of the gateways while
# the network is split. The rest is for what begins before the sums come. With a quarter in place
# of half, 28 in place of 11 of 1,444 operations were refused below a limit (12 gateways, test).
USED_MARGIN = 0.5
# The same for operations that are more urgent than others of their tenant. The count swings about
# the limit; what is between the two margins keeps urgent operations going when it is above.
URGENT_MARGIN = 0.9
# Of a window that is empty when gateways are back after a loss of all: 0.5 s at the least until
# they start; the 0.27 s until they listen are left as a margin.
RESTART_SHARE = 0.1
UNKNOWN_MARGIN = 0.2  # of what is tolerated beyond a limit; the rest is used otherwise


@dataclass(frozen=True, slots=True)
class QuotaParameters:
    """How limits are judged.

    Parameters
    ----------
    window_ms : float
        Milliseconds of a window.
    excess : float
        Share of a limit that is tolerated beyond it.
    slack : float
        Operations that are tolerated beyond that.
    """

    window_ms: float = 5000.0
    excess: float = 0.1
    slack: float = 20.0

    def limit(self, tenant: Tenant) -> float:
        """Return the operations of a tenant in a window, infinite without a rate."""
        if tenant.rate is None:
            return float("inf")
        return tenant.rate * self.window_ms / 1000 + tenant.burst

    def target(self, tenant: Tenant, margin: float = USED_MARGIN) -> float:
        """Return to how many operations in a window a tenant is held.

        Parameters
        ----------
        margin : float
            Of what is tolerated beyond the limit.

        Examples
        --------
        >>> QuotaParameters().target(Tenant("a", rate=100, burst=100))
        640.0
        """
        limit = self.limit(tenant)
        return limit + margin * (limit * self.excess + self.slack)

    def assumed_admissions(self, tenant: Tenant) -> float:
        """Return what a tenant is taken to have begun in a window of which nothing is known.

        That is its limit, without what a restart leaves empty and what is tolerated beyond it.

        Examples
        --------
        >>> round(QuotaParameters().assumed_admissions(Tenant("a", rate=100, burst=100)))
        524
        >>> QuotaParameters().assumed_admissions(Tenant("a", rate=0.5, burst=0.5))
        0.0
        """
        limit = self.limit(tenant)
        tolerated = UNKNOWN_MARGIN * (limit * self.excess + self.slack)
        return max(0.0, (1 - RESTART_SHARE) * limit - tolerated)
