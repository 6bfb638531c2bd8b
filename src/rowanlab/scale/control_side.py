"""What proxies, groups and changes cost a control node, without its network and disk."""

import asyncio
import time

import msgspec

from rowanlab.scale.slopes import resident_bytes
from rowanlab.scale.stubs import ZONES, configuration
from rowanrail.config.diff import difference
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.control.delta import make_delta, view_for_zone
from rowanrail.control.messages import (
    ChangeCommand,
    ConfigurationDelta,
    GroupReport,
    ProxyReport,
    WatchRequest,
)
from rowanrail.control.policies import ExpectedVersion, VersionMonotonic
from rowanrail.control.state import ConfigurationState
from rowanrail.control.watch import WatchHub
from rowanrail.rpc.codec import FrameKind, decode_frame, encode_frame

REPORTED_GROUPS = 3
CHANGES = 5
FIXED_GROUPS = 100
TOLD = 30


def _entry(index: int, delta: ConfigurationDelta) -> Entry:
    command = ChangeCommand(
        f"change-{index}", "lab", "2026-01-01T00:00:00Z", index - 1, False, f"{index}", delta, []
    )
    return Entry(1, index, EntryKind.COMMAND, msgspec.msgpack.encode(command))


def _state(groups: int) -> ConfigurationState:
    state = ConfigurationState(ExpectedVersion())
    whole = configuration(groups).configuration
    delta = make_delta(state.current.configuration, whole)
    state.apply(_entry(1, delta))
    return state


def _request(number: int, version: int, digest: str) -> bytes:
    groups = [
        GroupReport(f"group{index}", f"m{position}", zone, "replica", 1, 1, 0.1, False, True)
        for index in range(REPORTED_GROUPS)
        for position, zone in enumerate(ZONES)
    ]
    zone = ZONES[number % len(ZONES)]
    report = ProxyReport(f"proxy{number}", zone, f"proxy{number}/1", version, groups=groups)
    return encode_frame(FrameKind.REQUEST, number, WatchRequest(report, version, digest, 0.0))


async def _answer(hub: WatchHub, frame: bytes) -> int:
    """Serve one watch, with the encoding that the wire needs; return the answer's bytes."""
    _, call, request = decode_frame(frame)
    assert isinstance(request, WatchRequest)
    reply = await hub.watch(request, False)
    return len(encode_frame(FrameKind.REPLY, call, reply))


async def _watches(proxies: int) -> dict[str, float]:
    """Return the cost of one idle watch, and the memory that the proxies take."""
    state = _state(FIXED_GROUPS)
    hub = WatchHub(state, VersionMonotonic())
    frames = [_request(number, 1, "") for number in range(proxies)]
    before_bytes = resident_bytes()
    await asyncio.gather(*(_answer(hub, frame) for frame in frames))
    memory_bytes = resident_bytes() - before_bytes
    began = time.process_time()
    sizes = await asyncio.gather(*(_answer(hub, frame) for frame in frames))
    used = time.process_time() - began
    return {
        "round_ms": 1000 * used,
        "bytes": float(memory_bytes),
        "request_bytes": len(frames[0]),
        "reply_bytes": sum(sizes) / len(sizes),
    }


async def _changes(groups: int) -> dict[str, float]:
    """Return the cost of one change and of telling it to one proxy."""
    before_bytes = resident_bytes()
    state = _state(groups)
    hub = WatchHub(state, VersionMonotonic())
    memory_bytes = resident_bytes() - before_bytes
    apply_seconds = 0.0
    tell_seconds: list[float] = []
    told_seconds: list[float] = []
    entry_bytes = 0
    for number in range(CHANGES):
        known = state.current
        target = configuration(groups, queue_length=300 + number).configuration
        began = time.process_time()
        delta = make_delta(known.configuration, target)
        difference(known.configuration, target)
        entry = _entry(2 + number, delta)
        state.apply(entry)
        apply_seconds += time.process_time() - began
        entry_bytes = len(entry.data)
        began = time.process_time()
        digests = [view_for_zone(known, zone).digest() for zone in ZONES]
        for proxy in range(len(ZONES)):
            await _answer(hub, _request(proxy, known.version, digests[proxy]))
        tell_seconds.append(time.process_time() - began)
        frames = [_request(proxy, known.version, digests[proxy % 3]) for proxy in range(TOLD)]
        began = time.process_time()
        for frame in frames:
            await _answer(hub, frame)
        told_seconds.append((time.process_time() - began) / TOLD)
    began = time.process_time()
    snapshot_bytes = len(state.snapshot())
    snapshot_seconds = time.process_time() - began
    whole = await _answer(hub, _request(0, 0, ""))
    return {
        "bytes": float(memory_bytes),
        "apply_ms": 1000 * apply_seconds / CHANGES,
        "first_views_ms": 1000 * min(tell_seconds),
        "told_ms": 1000 * min(told_seconds),
        "entry_bytes": float(entry_bytes),
        "snapshot_bytes": float(snapshot_bytes),
        "snapshot_ms": 1000 * snapshot_seconds,
        "whole_bytes": float(whole),
    }


def watch_costs(proxies: int) -> dict[str, float]:
    """Like :func:`_watches`, in a worker process."""
    return asyncio.run(_watches(proxies))


def change_costs(groups: int) -> dict[str, float]:
    """Like :func:`_changes`, in a worker process."""
    return asyncio.run(_changes(groups))


WATCH_UNITS = {
    "round_ms": "ms of a core for one watch of each",
    "bytes": "bytes",
    "request_bytes": "bytes of a request with 3 groups",
    "reply_bytes": "bytes of a reply with nothing newer",
}
CHANGE_UNITS = {
    "bytes": "bytes",
    "apply_ms": "ms of a core for one change",
    "first_views_ms": "ms of a core for the views of 3 zones and their deltas",
    "told_ms": "ms of a core for telling one more proxy of a change",
    "entry_bytes": "bytes of the log for one change",
    "snapshot_bytes": "bytes of a snapshot",
    "snapshot_ms": "ms of a core for a snapshot",
    "whole_bytes": "bytes of a whole configuration to one proxy",
}
