"""A failover that the platform could not carry out leaves the replicas paused for good.

The service has one acknowledging replica. Its primary goes dark for some seconds, while the
platform's promote call is cut off. Both return, and nothing was promoted. At the end all processes
are killed and start again. Writes must be served as before.
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

RECOVER_SECONDS = 12.0  # recover-s
DARK_SECONDS = 5.0
CALM_SECONDS = 8.0
DOWN_SECONDS = 1.0
MEASURED_SECONDS = 10.0
QUARTER = 0.25
CLIENTS = 6


async def run_client(fleet, number, results, state):
    """Send single writes on the primary's route, one after the other; note what came back."""
    client = None
    written = 0
    while not state["over"]:
        host = random.choice(list(fleet.gateways))
        if client is None:
            client = Client(host, fleet.front_port)
            if not (await client.start("push")).startswith("READY"):
                client.close()
                client = None
                results.append((time.monotonic(), "no session"))
                await asyncio.sleep(0.2)
                continue
        written += 1
        sent = time.monotonic()
        lines = await client.ask(f"WRITE k{number} v{written}", seconds=4.0)
        if len(lines) >= 2 and lines[-2].startswith("DONE "):
            outcome = "served"
        else:
            outcome = lines[-2].split(" ")[1] if len(lines) >= 2 else "no answer"
        results.append((sent, outcome))
        if not lines:
            client.close()
            client = None
        await asyncio.sleep(0.05)


def share_served(results, since, until):
    """Return the share of the requests sent in a span that were served, and all outcomes."""
    outcomes = {}
    for sent, outcome in results:
        if since <= sent < until:
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
    return outcomes.get("served", 0) / max(1, sum(outcomes.values())), outcomes


async def play(record, has_trouble, fleets):
    group = Group("registry-1", sync_replicas=1)
    fleet = Fleet(record, [group])
    fleets.append(fleet)
    await fleet.start()
    operator = Operator(fleet, "operator")
    routes = [route("push", "registry-1", **{"timeout-ms": 800, "target-latency-ms": 600})]
    await operator.put(configuration(1, routes, ["registry-1"], sync_replicas=1))
    for host in fleet.gateways:
        await fleet.until(lambda host=host: fleet.ready(host), 15, f"ready {host}")
    await asyncio.sleep(4.0)
    results, state = [], {"over": False}
    began = time.monotonic()
    clients = [
        asyncio.ensure_future(run_client(fleet, number, results, state))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(CALM_SECONDS)
    primary = group.primary
    if has_trouble:
        record.note(f"{primary.instance} goes dark, and the promote call is cut off")
        primary.is_dark = fleet.platform.is_cut_off = True
    await asyncio.sleep(DARK_SECONDS)
    if has_trouble:
        primary.is_dark = fleet.platform.is_cut_off = False
        record.note(f"both are back; promotions that reached the platform: {fleet.platform.calls}")
        record.note(f"primary: {group.primary.instance}, term {group.term}")
    await asyncio.sleep(CALM_SECONDS)
    share, outcomes = share_served(results, began, time.monotonic())
    record.note(f"before the final fault {share:.2f} of the writes are served: {outcomes}")
    late, outcomes = share_served(results, time.monotonic() - CALM_SECONDS / 2, time.monotonic())
    record.note(f"in the last {CALM_SECONDS / 2} s of it {late:.2f}: {outcomes}")
    if has_trouble:
        record.note("final fault: every process is killed")
        for host in [*fleet.gateways, *fleet.controls]:
            fleet.kill(host)
        await asyncio.sleep(DOWN_SECONDS)
        for host in [*fleet.gateways, *fleet.controls]:
            fleet.start_process(host)
    returned = time.monotonic()
    await asyncio.sleep(RECOVER_SECONDS + MEASURED_SECONDS)
    state["over"] = True
    await asyncio.wait(clients, timeout=5.0)
    since = returned + RECOVER_SECONDS
    after, outcomes = share_served(results, since, since + MEASURED_SECONDS)
    record.note(f"later than recover-s after the return {after:.2f} are served: {outcomes}")
    record.note(f"promotions that reached the platform: {fleet.platform.calls}")
    for member in group.members.values():
        role = "primary" if member.is_primary else "replica"
        paused = ", paused by PAUSE and never resumed" if member.is_paused else ""
        record.note(f"{member.instance}: {role}, log {member.position}{paused}")
    return share >= QUARTER and after < QUARTER


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, play))
