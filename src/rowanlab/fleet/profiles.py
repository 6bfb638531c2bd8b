"""Profiles of the two deployments that the fleet reproduces."""

import msgspec


class Profile(msgspec.Struct, frozen=True):
    """Sizes and network delays of a deployment.

    :param slots: statements that a member runs at a time.
    :param connections: connections that a member accepts.
    :param zone_delay_seconds: one-way delay between zones.
    :param caller_delay_seconds: one-way delay between callers and their proxy.
    :param connect_seconds: time that a member takes to accept a connection.
    :param read_share: fraction of requests that are reads.
    """

    name: str
    region: str
    zones: list[str]
    groups: list[str]
    slots: int
    connections: int
    zone_delay_seconds: float
    caller_delay_seconds: float
    connect_seconds: float = 0.01
    read_share: float = 0.9


BLUE_MAHOE = Profile(
    name="blue-mahoe",
    region="jamaica",
    zones=["kingston", "montego", "mandeville"],
    groups=["registry-a", "registry-b", "registry-c"],
    slots=5,
    connections=40,
    zone_delay_seconds=0.0015,
    caller_delay_seconds=0.003,
    read_share=0.95,
)

HALLERBACH = Profile(
    name="hallerbach",
    region="austria",
    zones=["linz", "wien", "graz"],
    groups=["cues-a", "cues-b", "delivery"],
    slots=10,
    connections=100,
    zone_delay_seconds=0.0005,
    caller_delay_seconds=0.003,
    read_share=0.7,
)

PROFILES = {profile.name: profile for profile in (BLUE_MAHOE, HALLERBACH)}
