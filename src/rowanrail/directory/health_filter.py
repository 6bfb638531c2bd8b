"""What of a gateway's view of the primaries is worth reporting to the control nodes.

For gateways, which leave out the rest, and for control nodes, which leave it out of reports of
gateways of earlier versions. Owns nothing. Relies on ``model`` for the records.
"""

from collections.abc import Iterable

from rowanrail.model.members import PrimaryHealth

__all__ = ["reportable_health"]

# Age of a proof up to which it is reported. A proof contradicts others who have failed for longer
# than it is old. Those who fail report within 0.3 s and are decided on within seconds; a proof of
# half a minute ago contradicts no report.
REPORTED_PROOF_MS = 30_000


def reportable_health(health: Iterable[PrimaryHealth]) -> list[PrimaryHealth]:
    """Return what has weight in a decision about a primary.

    Most gateways use few services, and where connections are shared most have none of their own:
    of the others they have neither a proof nor a failure to report.

    Parameters
    ----------
    health : iterable of PrimaryHealth
        What a gateway sees of all services.

    Examples
    --------
    >>> seen = [PrimaryHealth("db1", "m1", 900, 0), PrimaryHealth("db2", "m2", -1, 0)]
    >>> seen += [PrimaryHealth("db3", "", -1, 250), PrimaryHealth("db4", "m4", 90_000, 0)]
    >>> [one.service for one in reportable_health(seen)]
    ['db1', 'db3']
    """
    return [
        one for one in health if one.failing_for_ms or 0 <= one.proved_ago_ms < REPORTED_PROOF_MS
    ]
