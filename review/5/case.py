"""A gateway that starts together with the control nodes keeps a configuration that was never taken.

Two operators change the configuration at once (X and Y, the same version), and in that moment all
processes are killed. They start again a second later. Whichever change is then taken must be
obeyed by every gateway that is in touch, ``config-apply-ms`` after its acknowledgement.
"""

import asyncio
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
    exchange,
    main,
    probe,
    route,
)

CONFIG_APPLY_SECONDS = 4.0  # config-apply-ms
CONTACT_SECONDS = 5.0  # contact-ms
SKEW_SECONDS = 15.0  # max-skew-ms
SLACK_SECONDS = 1.0
ROUNDS = 8
DOWN_SECONDS = 1.0
SERVICES = ("registry-1", "registry-2")


def documents(version):
    """Return the configuration in force before, and the two changes on the next version."""
    old = [route("alpha", "registry-1")]
    x = [route("alpha", "registry-1"), route(f"xray{version}", "registry-1")]
    y = [route("alpha", "registry-2"), route(f"yankee{version}", "registry-2")]
    return (
        configuration(version, old, SERVICES),
        configuration(version + 5, x, SERVICES),
        configuration(version + 5, y, SERVICES),
    )


async def race(fleet, record, x, y, has_trouble):
    """Have two operators send X and Y at once; kill and start all processes if there is trouble."""
    leader = fleet.seen_leader
    others = [host for host in fleet.controls if host != leader]
    version = x["version"]
    first, second = Operator(fleet, "operator 1"), Operator(fleet, "operator 2")
    if not has_trouble:
        return await asyncio.gather(
            first.put(x, leader, f"X (v{version})"), second.put(y, others[0], f"Y (v{version})")
        )
    import json

    reader, writer = await asyncio.open_connection(leader, fleet.control_port)
    record.note("all processes are killed while the two operators send their changes")
    for host in others:
        fleet.kill(host)
    sent = asyncio.ensure_future(
        exchange(reader, writer, leader, "PUT", "/config", json.dumps(x).encode())
    )
    record.note(f"operator 1 sends PUT /config X (v{version}) to {leader}")
    await asyncio.sleep(0.02)  # a link between regions takes as long
    for host in [leader, *fleet.gateways]:
        fleet.kill(host)
    answers = await asyncio.gather(sent, return_exceptions=True)
    record.note(f"operator 1 got {answers} for X; the processes of {leader} are the last to end")
    writer.close()
    y_taken = asyncio.ensure_future(second.put(y, others[0], f"Y (v{version})"))
    await asyncio.sleep(0.05)
    x_taken = asyncio.ensure_future(first.put(x, others[1], f"X (v{version})"))
    await asyncio.sleep(DOWN_SECONDS)
    record.note("all processes start again")
    for host in [*fleet.gateways, *fleet.controls]:
        fleet.start_process(host)
    return await asyncio.gather(x_taken, y_taken)


async def watch(fleet, record, version, until):
    """Keep opening sessions for the databases of both changes, as clients do; note the changes."""
    seen = {}
    while time.monotonic() < until():
        for host in fleet.gateways:
            for database in ("alpha", f"xray{version}", f"yankee{version}"):
                answer = await probe(host, fleet.front_port, database)
                if seen.get((host, database)) != answer:
                    seen[host, database] = answer
                    record.note(f"client at {host} for {database}: {answer}")
        await asyncio.sleep(0.1)


async def play(record, has_trouble, fleets):
    groups = [Group(name) for name in SERVICES]
    fleet = Fleet(record, groups)
    fleets.append(fleet)
    await fleet.start()
    operator = Operator(fleet, "operator 1")
    for number in range(ROUNDS):
        version = 10 * (number + 1)
        old, x, y = documents(version)
        await operator.put(old)
        for host in fleet.gateways:
            await fleet.until(lambda host=host: fleet.ready(host), 15, f"ready {host}")

        async def leads():
            return fleet.seen_leader

        await fleet.until(leads, 10, "a leader")
        await asyncio.sleep(2.0)
        ends = [time.monotonic() + 90.0]
        watching = asyncio.ensure_future(watch(fleet, record, version, lambda: ends[0]))
        answers = await race(fleet, record, x, y, has_trouble)
        taken_at = max(at for _, at in answers)
        for host in fleet.gateways:
            await fleet.until(lambda host=host: fleet.ready(host), 15, f"ready {host}")
        calm_at = max(taken_at, time.monotonic()) + CONFIG_APPLY_SECONDS + SLACK_SECONDS
        calm_at = max(calm_at, time.monotonic() + CONTACT_SECONDS + SLACK_SECONDS)
        ends[0] = calm_at - 0.5
        await watching
        await asyncio.sleep(max(0.0, calm_at - time.monotonic()))
        if await is_broken(fleet, record, operator, version, x, y):
            # Well past every span that could excuse it, it must still be so.
            settled_at = calm_at + SKEW_SECONDS
            record.note(f"asked again after {SKEW_SECONDS:.0f} s more, in which nothing is disturbed")
            await asyncio.sleep(max(0.0, settled_at - time.monotonic()))
            return await is_broken(fleet, record, operator, version, x, y)
    return False


async def is_broken(fleet, record, operator, version, x, y):
    """Return whether a gateway handles requests otherwise than the configuration in force says."""
    held = await operator.read()
    if held not in (x, y):
        record.note(f"CONFIG: read back is neither X nor Y: {held}")
        return True
    name = "X" if held == x else "Y"
    service = {r["host"]: r["service"] for r in held["routes"]}
    record.note(f"in force and read back is {name} (v{held['version']}): {service}")
    broken = False
    for host in fleet.gateways:
        for database in ("alpha", f"xray{version}", f"yankee{version}"):
            answer = await probe(host, fleet.front_port, database)
            wanted = service.get(database)
            fits = answer.startswith(f"ROW {wanted}/") if wanted else "NODB" in answer
            if not fits:
                # Ask again, so that an answer that is only late or busy is not taken for a break.
                await asyncio.sleep(0.5)
                answer = await probe(host, fleet.front_port, database)
                fits = answer.startswith(f"ROW {wanted}/") if wanted else "NODB" in answer
            is_other = (wanted and "NODB" in answer) or answer.startswith("ROW")
            verdict = "fits" if fits else ("BREAKS CONFIG" if is_other else "no clear answer")
            record.note(f"{host} {database}: {answer} ({verdict}; wanted {wanted or 'NODB'})")
            broken = broken or verdict == "BREAKS CONFIG"
    for host in fleet.controls:
        record.note(f"read at {host}: version {(await operator.read(host))['version']}")
    return broken


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, play))
