"""Control nodes that lost their disks are not admitted again, until nothing is left.

A fourth control node is added. Then three nodes lose their disks, one after the other, each long
after the one before has returned. Their seeds name the three machines other than the leader. What
was acknowledged must still be read.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2 import Fleet, Group, Operator, configuration, http, main, route  # noqa: E402

CATCH_UP_SECONDS = 4.0  # catch-up-s
CONTACT_SECONDS = 5.0  # contact-ms
RECOVER_SECONDS = 12.0  # recover-s
MARGIN_SECONDS = 3.0
DOWN_SECONDS = 1.0
READ_SECONDS = 20.0
LOSSES = 3


async def reads(fleet, seconds):
    """Ask all control nodes for the configuration; return the first answer, None without one."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        answers = await asyncio.gather(
            *(http(host, fleet.control_port, "GET", "/config") for host in fleet.controls)
        )
        for status, body in answers:
            if status == 200:
                return json.loads(body)
        await asyncio.sleep(0.25)
    return None


async def play(record, has_trouble, fleets):
    fleet = Fleet(record, [Group("registry-1")], gateways=1)
    fleets.append(fleet)
    await fleet.start()
    operator = Operator(fleet, "operator")
    routes = [route("alpha", "registry-1")]
    await operator.put(configuration(1, routes, ["registry-1"]))
    added = fleet.add_control()
    fleet.start_process(added)
    record.note(f"{added} is added")
    await asyncio.sleep(CATCH_UP_SECONDS + MARGIN_SECONDS)
    _, acknowledged_at = await operator.put(configuration(7, routes, ["registry-1"]))
    record.note("version 7 is acknowledged")
    leader = fleet.seen_leader
    seeds = [host for host in fleet.controls if host != leader]
    if os.environ.get("SEEDS") == "leader":  # for comparison: another three of the four
        seeds = [leader, *seeds[1:]]
    record.note(f"leader {leader}; the seeds name {seeds}")
    # The added node last, as it takes the vote of the first one.
    others = [host for host in fleet.controls if host != leader]
    lost = sorted(others, key=lambda host: host == added) if has_trouble else []
    for host in lost[:LOSSES]:
        fleet.kill_and_wipe(host)
        record.note(f"{host} loses its disk")
        await asyncio.sleep(DOWN_SECONDS)
        fleet.start_process(host, seeds=seeds)
        record.note(f"{host} is back, with an empty disk and bootstrap false")
        await asyncio.sleep(CATCH_UP_SECONDS + MARGIN_SECONDS)
        answer = await reads(fleet, 2.0)
        version = None if answer is None else answer["version"]
        record.note(f"version read {CATCH_UP_SECONDS + MARGIN_SECONDS} s after its return: {version}")
    record.note(f"leader seen by members: {fleet.seen_leader}")
    await asyncio.sleep(RECOVER_SECONDS)
    answer = await reads(fleet, max(READ_SECONDS, CONTACT_SECONDS))
    record.note(f"processes that ended: {fleet.ended()}")
    if answer is None:
        record.note(f"the configuration does not come, from any node, for {READ_SECONDS} s")
        return True
    record.note(f"read back: version {answer['version']}")
    return answer["version"] < 7


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, play))
