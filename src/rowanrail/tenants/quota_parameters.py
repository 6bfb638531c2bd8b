"""Parameters of tenants' quotas: the limit in a window, its target and its tolerance.

Values made from the settings and pure functions of them.
"""

from dataclasses import dataclass

from rowanrail.tenants.model import Tenant

__all__ = ["URGENT_MARGIN", "USED_MARGIN", "QuotaParameters"]

# Share of the tolerated excess that is used, so that nothing is refused below the limit though the
# totals are late, and though a partition's share of the demand differs from its share of the
# gateways. The rest covers what is admitted before the totals arrive. With 0.25 in place of 0.5, 28
# in place of 11 of 1,444 operations were refused below a limit, in a test with 12 gateways.
USED_MARGIN = 0.5
# The same for operations that are more urgent than others of their tenant. The count oscillates
# about the limit; between the two margins only urgent operations are admitted.
URGENT_MARGIN = 0.9
# Share of a window that is empty after a restart of all gateways: 0.5 s until they start. The
# 0.27 s from then until they listen are a margin.
RESTART_SHARE = 0.1
UNKNOWN_MARGIN = 0.2  # share of the tolerated excess that assumed admissions leave out


@dataclass(frozen=True, slots=True)
class QuotaParameters:
    """Window and tolerance of the limits.

    Parameters
    ----------
    window_ms : float
        Length of a window in milliseconds.
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
        """Return the number of operations in a window to which a tenant is held.

        Parameters
        ----------
        margin : float
            Share of the tolerated excess that is used.

        Examples
        --------
        >>> QuotaParameters().target(Tenant("a", rate=100, burst=100))
        640.0
        """
        limit = self.limit(tenant)
        return limit + margin * (limit * self.excess + self.slack)

    def assumed_admissions(self, tenant: Tenant) -> float:
        """Return the operations that a tenant is assumed to have run in an unknown window.

        This is its limit, less the share that a restart leaves empty and a share of the tolerance.

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
