"""``rowanlab applies``: many configuration changes while control nodes are killed and frozen."""

import asyncio
import random
import signal
import time
from pathlib import Path
from typing import Any

import msgspec
import yaml

from rowanlab.fleet.layout import FleetOptions
from rowanlab.fleet.profiles import Profile
from rowanlab.fleet.runner import Fleet, free_subnet
from rowanrail.cli.client import ControlUnavailableError

SUBNET = 50
POLL_SECONDS = 0.005
GIVE_UP_SECONDS = 60.0
FAULT_PAUSE_SECONDS = (0.5, 1.5)
FIRST_VALUE = 100


class AppliesReport(msgspec.Struct):
    """The last line of ``rowanlab applies``.

    :param reverted: accepted changes that the final history does not show at their version.
    :param in_force_ms: from sending a change to its being in force in every zone, as quantiles.
    """

    profile: str
    seed: int
    accepted: int
    unanswered: int
    lost: int
    reverted: int
    kills: int
    freezes: int
    in_force_ms: dict[str, float]

    @property
    def passed(self) -> bool:
        """Whether every change was answered, and none lost or reverted."""
        return self.unanswered == 0 and self.lost == 0 and self.reverted == 0


class _Applier:
    """Sends changes one after the other and measures when they are in force."""

    def __init__(self, fleet: Fleet) -> None:
        self.accepted: dict[str, int] = {}
        self.unanswered = 0
        self.in_force_seconds: list[float] = []
        self._fleet = fleet
        self._content = yaml.safe_load(Path(fleet.file.configuration).read_text())

    def run(self, count: int) -> None:
        for number in range(count):
            self._apply(f"change-{number}", FIRST_VALUE + number)

    def _apply(self, change_id: str, value: int) -> None:
        self._content["groups"][0]["limits"]["queue_length"] = value
        body = {"change_id": change_id, "configuration": self._content}
        began = time.monotonic()
        version = self._send(body, began + GIVE_UP_SECONDS)
        if version is None:
            self.unanswered += 1
            return
        self.accepted[change_id] = version
        self._wait_in_force(version, began + GIVE_UP_SECONDS)
        self.in_force_seconds.append(time.monotonic() - began)

    def _send(self, body: Any, deadline: float) -> int | None:
        while time.monotonic() < deadline:
            try:
                answer = self._fleet.client().request("POST", "/v1/configuration", body)
            except ControlUnavailableError:
                time.sleep(POLL_SECONDS)
                continue
            return int(answer.body["version"])
        return None

    def _wait_in_force(self, version: int, deadline: float) -> None:
        zones = set(self._fleet.file.zones())
        while time.monotonic() < deadline:
            try:
                known = self._fleet.client().request("GET", "/v1/status").body["zones"]
            except ControlUnavailableError:
                continue
            if {zone for zone, in_force in known.items() if in_force >= version} >= zones:
                return
            time.sleep(POLL_SECONDS)


async def _break_controls(fleet: Fleet, seed: int, counts: dict[str, int]) -> None:
    """Kill or freeze one control node at a time, until cancelled."""
    randomness = random.Random(seed)
    while True:
        await asyncio.sleep(randomness.uniform(*FAULT_PAUSE_SECONDS))
        name = randomness.choice(fleet.file.controls).name
        if randomness.random() < 0.5:
            counts["kills"] += 1
            fleet.kill(name)
            await asyncio.sleep(randomness.uniform(0.2, 1.5))
            fleet.restart(name)
        else:
            counts["freezes"] += 1
            fleet.signal(name, signal.SIGSTOP)
            await asyncio.sleep(randomness.uniform(0.2, 2.0))
            fleet.signal(name, signal.SIGCONT)


async def _run(fleet: Fleet, count: int, seed: int, with_faults: bool) -> tuple[Any, Any]:
    applier = _Applier(fleet)
    counts = {"kills": 0, "freezes": 0}
    breaking = asyncio.ensure_future(_break_controls(fleet, seed, counts)) if with_faults else None
    await asyncio.to_thread(applier.run, count)
    if breaking is not None:
        breaking.cancel()
    return applier, counts


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000, 1)


def _mend(fleet: Fleet) -> None:
    for control in fleet.file.controls:
        if fleet.is_running(control.name):
            fleet.signal(control.name, signal.SIGCONT)
        else:
            fleet.restart(control.name)


def applies(
    profile: Profile, count: int, seed: int, with_faults: bool, folder: Path
) -> AppliesReport:
    """Start a fleet, send the changes, and compare what was accepted with the history."""
    fleet = Fleet(profile, FleetOptions(subnet=free_subnet(SUBNET), groups=1), folder)
    try:
        fleet.start()
        applier, counts = asyncio.run(_run(fleet, count, seed, with_faults))
        _mend(fleet)
        history = _history(fleet)
    finally:
        fleet.stop()
    found = {revision["change_id"]: revision["version"] for revision in history}
    oldest = min(found.values(), default=0)
    shown = {key: version for key, version in applier.accepted.items() if version >= oldest}
    return AppliesReport(
        profile=profile.name,
        seed=seed,
        accepted=len(applier.accepted),
        unanswered=applier.unanswered,
        lost=sum(1 for key in shown if key not in found),
        reverted=sum(1 for key, version in shown.items() if found.get(key, version) != version),
        kills=counts["kills"],
        freezes=counts["freezes"],
        in_force_ms={
            "p50": _quantile(applier.in_force_seconds, 0.5),
            "p99": _quantile(applier.in_force_seconds, 0.99),
            "max": _quantile(applier.in_force_seconds, 1.0),
        },
    )


def _history(fleet: Fleet) -> list[Any]:
    deadline = time.monotonic() + GIVE_UP_SECONDS
    while True:
        try:
            body = fleet.client().request("GET", "/v1/configuration").body
            return list(body["history"])
        except ControlUnavailableError:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_SECONDS)
