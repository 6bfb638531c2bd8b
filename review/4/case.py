"""A promotion whose order got no answer is carried out late and drops acknowledged commits.

The service has one acknowledging replica. Its primary goes dark for some seconds; the order to
promote a replica gets no answer, and is carried out some seconds later. Before that the primary is
back and serves on, and the other replica has crashed and started again. What clients were told to be
committed must be in the log of the member that is promoted.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2 import (  # noqa: E402
    Client,
    Fleet,
    Group,
    Operator,
    configuration,
    main,
    route,
)

DARK_SECONDS = 2.4
LATE_SECONDS = 9.0
REPLICA_RUNS_SECONDS = 1.0
REPLICA_DOWN_SECONDS = 1.0
CALM_SECONDS = 5.0
CLIENTS = 6
ZONES = {"linz-hafen": "linz", "wien-erdberg": "wien", "graz-puntigam": "graz"}
PROMOTE_SECONDS = 0.6


async def run_client(fleet, number, acknowledged, state):
    """Send single writes on the primary's route, one after the other; keep those acknowledged."""
    client = None
    written = 0
    while not state["over"]:
        host = random.choice(list(fleet.gateways))
        if client is None:
            client = Client(host, fleet.front_port)
            if not (await client.start("push")).startswith("READY"):
                client.close()
                client = None
                await asyncio.sleep(0.2)
                continue
        written += 1
        value = f"c{number}v{written}"
        lines = await client.ask(f"WRITE k{number} {value}", seconds=4.0)
        if len(lines) >= 2 and lines[-2].startswith("DONE "):
            acknowledged.append((time.monotonic(), f"k{number}", value))
        if not lines:
            client.close()
            client = None
        await asyncio.sleep(0.05)


async def play(record, has_trouble, fleets):
    group = Group("registry-1", sync_replicas=1)
    fleet = Fleet(record, [group], zones=ZONES, promote_seconds=PROMOTE_SECONDS)
    fleets.append(fleet)
    await fleet.start()
    operator = Operator(fleet, "operator")
    routes = [route("push", "registry-1", **{"timeout-ms": 1000, "target-latency-ms": 400})]
    await operator.put(configuration(1, routes, ["registry-1"], sync_replicas=1))
    for host in fleet.gateways:
        await fleet.until(lambda host=host: fleet.ready(host), 15, f"ready {host}")
    await asyncio.sleep(4.0)
    acknowledged, state, lost = [], {"over": False}, []

    def check(member):
        """Compare what clients were told with the log of the member that is promoted."""
        held = {tuple(write) for _, writes in member.log for write in writes}
        missing = [(at, key, value) for at, key, value in acknowledged if (key, value) not in held]
        record.note(
            f"{member.instance} is promoted with log {member.position}; {len(acknowledged)} writes "
            f"were acknowledged to clients before, {len(missing)} of them are not in its log"
        )
        for at, key, value in missing[:3] + missing[-3:]:
            record.note(f"  missing: {key} {value}, acknowledged {time.monotonic() - at:.2f} s ago")
        lost.extend(missing)

    group.on_promote = check
    clients = [
        asyncio.ensure_future(run_client(fleet, number, acknowledged, state))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(CALM_SECONDS)
    primary = group.primary
    if has_trouble:
        calls = len(fleet.platform.calls)
        fleet.platform.late_seconds = LATE_SECONDS
        primary.is_dark = True
        record.note(f"{primary.instance} goes dark; promote calls get no answer and come late")
        await asyncio.sleep(DARK_SECONDS)
        primary.is_dark = False
        record.note(f"{primary.instance} is back; it leads: {primary.is_primary}")
        ordered = fleet.platform.calls[calls:]
        record.note(f"orders without an answer, carried out {LATE_SECONDS} s later: {ordered}")
        if not ordered:
            return False
        await asyncio.sleep(REPLICA_RUNS_SECONDS)
        named = group.members[ordered[-1][3]]
        other = next(m for m in group.members.values() if m not in (primary, named))
        other.stop()
        other.is_dark = True
        record.note(f"the other replica, {other.instance}, crashes")
        await asyncio.sleep(REPLICA_DOWN_SECONDS)
        other.connections.clear()
        other.is_dark = other.is_paused = False
        await other.start()
        group.catch_up(other)
        record.note(f"{other.instance} is back, with its log")
    await asyncio.sleep(LATE_SECONDS + CALM_SECONDS)
    state["over"] = True
    await asyncio.wait(clients, timeout=5.0)
    record.note(f"promote calls: {fleet.platform.calls}")
    record.note(f"acknowledged writes: {len(acknowledged)}; lost by a promotion: {len(lost)}")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, play))
