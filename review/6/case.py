"""A control node that is killed during its first start ends itself at every later start.

A new system starts for the first time, and all processes of the core are killed at the same moment.
A second later they start again, with what is on their disks. They must come up: none may end by
itself.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2 import Fleet, Group, main  # noqa: E402

SYSTEMS = 12  # new systems that are started, until the rule breaks
DOWN_SECONDS = 1.0
ENDS = 3  # "three times in the day"
HALF_OF_CORE = 2  # of three
SETTLE_SECONDS = 2.0


async def first_start(fleet, record, has_trouble):
    """Start all control nodes for the first time; kill them all while they set up their folders."""
    for host in fleet.controls:
        fleet.start_process(host, bootstrap=True)
    if not has_trouble:
        await asyncio.sleep(SETTLE_SECONDS)
        return
    folders = [fleet.folder / f"data-{host}" for host in fleet.controls]
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:  # when the second folder is being set up
        if sum((folder / "snapshot").exists() for folder in folders) >= 2:
            break
    for host in fleet.controls:
        fleet.kill(host)
    for host in fleet.controls:
        fleet.processes[host].wait()
    record.note("all control nodes were killed during their first start")
    await asyncio.sleep(DOWN_SECONDS)


async def count_ends(fleet, record):
    """Start the control nodes again as often as they end; return how often each ended by itself."""
    ends = dict.fromkeys(fleet.controls, 0)
    for host in fleet.controls:
        if fleet.processes[host].poll() is not None:
            fleet.start_process(host)
    for _ in range(ENDS):
        await asyncio.sleep(SETTLE_SECONDS)
        for host, code in fleet.ended().items():
            ends[host] += 1
            record.note(f"{host} ended by itself with code {code}, and is started again")
            fleet.start_process(host)
    return ends


async def play(record, has_trouble, fleets):
    for number in range(SYSTEMS):
        fleet = Fleet(record, [Group("registry-1")], gateways=0)
        fleets.append(fleet)
        await first_start(fleet, record, has_trouble)
        ends = await count_ends(fleet, record)
        record.note(f"system {number + 1}: ends by themselves: {ends}")
        fleet.stop()
        if sum(count >= ENDS for count in ends.values()) >= HALF_OF_CORE:
            host = next(host for host, count in ends.items() if count)
            record.note((fleet.folder / f"{host}.log").read_text()[-300:].strip())
            return True
    return False


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, play))
