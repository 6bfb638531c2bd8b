"""A primary crashes while its only up-to-date replica is draining; sync-replicas is 1."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import BROKEN, HELD, Lab, Member, Writers, main  # noqa: E402

DEAF_SECONDS = 6.5
DRAIN_SECONDS = 7.0
SERVES_ON_SECONDS = 3.0  # after drain-ms, until a draining member ends


async def end_after_drain(lab: Lab, leaving: Member) -> None:
    """End a draining member as announced; its log goes to a new member at its address."""
    await asyncio.sleep(DRAIN_SECONDS + SERVES_ON_SECONDS)
    await leaving.announce_end()
    leaving.stop()
    lab.record.note(f"{leaving.instance} ends")
    successor = Member(lab.group, lab, "i-d", leaving.zone, leaving.address)
    successor.log, successor.term = list(leaving.log), leaving.term
    await successor.start()
    lab.record.note(f"i-d starts at its address with its log, {successor.position}")
    lab.group.replicate()


async def case(lab: Lab, has_trouble: bool) -> int:
    primary, leaving, behind = lab.members
    writers = Writers(lab)
    await asyncio.sleep(2.0)
    tasks = []
    if has_trouble:
        await leaving.announce("draining")
        tasks.append(asyncio.ensure_future(end_after_drain(lab, leaving)))
        behind.deaf = True
        lab.record.note(
            f"{behind.instance} receives nothing from now on, it is at {behind.position}"
        )
        asyncio.get_running_loop().call_later(DEAF_SECONDS, setattr, behind, "deaf", False)
        await asyncio.sleep(2.0)
        lab.record.note(f"{primary.instance} crashes at {primary.position}")
        primary.stop()
    else:
        await asyncio.sleep(2.0)
    acknowledged = list(writers.acknowledged)
    deadline = time.monotonic() + 25
    while has_trouble and not lab.platform.carried_out and time.monotonic() < deadline:
        await asyncio.sleep(0.05)
    promoted = lab.group.primary
    held = set(promoted.log) if promoted is not None else set()
    await asyncio.sleep(1.0)
    writers.stop()
    for task in tasks:
        task.cancel()
    if promoted is None:
        lab.record.note("no member was promoted")
        return HELD
    lost = [write for write in acknowledged if write not in held]
    lab.record.note(
        f"{len(acknowledged)} writes acknowledged before the crash, {len(lost)} of them absent "
        f"from the log of {promoted.instance}: {' '.join(lost)}"
    )
    return BROKEN if lost else HELD


main(FOLDER, case, sync=1)
