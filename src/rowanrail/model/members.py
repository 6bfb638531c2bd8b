"""Members as they announced themselves, and the health of a primary as a gateway sees it."""

import msgspec


class MemberRecord(msgspec.Struct, frozen=True):
    """A member as it announced itself.

    :param instance: identity of one life of the member.
    :param sequence: rises with each announcement; a lower one came late.
    :param cold_ms: for how much longer it was slow after its start when it was announced.
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
    """What a proxy sees of a service's primary; ages in whole milliseconds.

    :param proved_ago_ms: since the last proof that it leads; -1 if there was none.
    :param failing_for_ms: how long all attempts have failed; 0 if the last one succeeded.
    """

    service: str
    instance: str
    proved_ago_ms: int
    failing_for_ms: int
