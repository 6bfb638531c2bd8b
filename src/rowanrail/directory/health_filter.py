"""Selects the views of primaries that gateways report to the control nodes.

Gateways apply it to their reports; control nodes apply it to those of earlier gateways.
"""

from collections.abc import Iterable

from rowanrail.model.members import PrimaryHealth

__all__ = ["reportable_health"]

# A proof contradicts only failures that last longer than its age. Failures are reported and decided
# on within seconds, so that an older proof has no effect.
MAX_PROOF_AGE_MS = 30_000


def reportable_health(health: Iterable[PrimaryHealth]) -> list[PrimaryHealth]:
    """Return the views that can influence a failover: recent proofs and failures.

    Most gateways use few services, and have neither for the others.

    Parameters
    ----------
    health : iterable of PrimaryHealth
        A gateway's views of all services.

    Examples
    --------
    >>> seen = [PrimaryHealth("db1", "m1", 900, 0), PrimaryHealth("db2", "m2", -1, 0)]
    >>> seen += [PrimaryHealth("db3", "", -1, 250), PrimaryHealth("db4", "m4", 90_000, 0)]
    >>> [one.service for one in reportable_health(seen)]
    ['db1', 'db3']
    """
    return [
        one for one in health if one.failing_for_ms or 0 <= one.proved_ago_ms < MAX_PROOF_AGE_MS
    ]
