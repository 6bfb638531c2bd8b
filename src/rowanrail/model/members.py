"""Members as they announced themselves, and the health of a primary as a gateway sees it.

Owns the two records; ``MemberRecord`` is sent and stored with its field names, ``PrimaryHealth`` as
an array. Relies on nothing.
"""

import msgspec


class MemberRecord(msgspec.Struct, frozen=True):
    """A member as it announced itself; its field names are sent and stored.

    Parameters
    ----------
    instance : str
        Identity of one life of the member: another one after each start.
    service : str
        Whose data it has.
    address : str
        ``IP:port`` at which it takes connections.
    primary, leaving : bool
        What it says of itself: that it leads, that it is about to stop.
    slots : int
        Statements that it runs at a time.
    sequence : int
        Rises with each announcement; a lower one came late.
    cold_ms : int
        Milliseconds for which it was still slow after its start when it was announced.
    """

    instance: str
    service: str
    address: str
    zone: str
    primary: bool
    leaving: bool
    slots: int
    sequence: int
    cold_ms: int = 0


class PrimaryHealth(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway sees of a service's primary; ages in whole milliseconds.

    Parameters
    ----------
    instance : str
        The member that it believes to lead; empty if it knows of none.
    proved_ago_ms : int
        Since the last proof that it leads; -1 if there was none.
    failing_for_ms : int
        For how long all attempts have failed; 0 if the last one succeeded.
    """

    service: str
    instance: str
    proved_ago_ms: int
    failing_for_ms: int
