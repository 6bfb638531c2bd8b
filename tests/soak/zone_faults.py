"""Faults on members' lives, zones and regions, and the checks of what arrives at the members."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from tests.soak.senders import find_sender
from tests.soak.zone_rules import ColdMembers, Deadlines
from tests.support.line_member import Member
from tests.support.platform_fleet import CONTROL_PORT, MEMBER_PORT

if TYPE_CHECKING:
    from tests.soak.run import Soak

__all__ = ["FIRST_BORN_AGE_MS", "WARM_UP", "ZoneFaults"]

ZONES = ("a", "b")
CONTACT_SECONDS = 6.0  # a gateway without a fault for as long is in touch
EVACUATION_SECONDS = 5.0
DRAIN_SECONDS = 7.0
ACKNOWLEDGEMENT_SECONDS = 28.0  # ack-ms, and the skew by which an unstable core extends it
# Members of the first start are not cold any more.
FIRST_BORN_AGE_MS = 60_000
WARM_UP_SECONDS, WARM_UP_RATE = 4.0, 40
WARM_UP = {"warmup-s": WARM_UP_SECONDS, "warmup-per-s": WARM_UP_RATE}
COLD_EXCESS, COLD_SLACK = 1.5, 5

INTERVAL_SECONDS = (2.0, 6.0)
STRANGER_INTERVAL_SECONDS = (0.5, 2.0)
KILL_INTERVAL_SECONDS = (10.0, 30.0)
EVACUATED_SECONDS = (6.0, 16.0)
# Gateways that started again are in touch for some seconds, so that a lost evacuation is noticed.
EVACUATED_AFTER_KILL_SECONDS = 13.0
LEAVING_SECONDS = (8.0, 12.0)
OUTAGE_SECONDS = (0.3, 2.0)
LATE_REPLICA_SECONDS, LATE_SPELL_SECONDS = 0.4, (2.0, 5.0)
RETRY_SECONDS = 0.3
LEAVING_SHARE = 0.5
REGION_CHOICES = (["r1"], ["r2"], ["r1", "r2"])
CLIENT_WORDS = {"BEGIN", "READ", "WRITE", "EXECUTE", "COMMIT", "ROLLBACK", "SET", "PREPARE"}


class ZoneFaults:
    """Restarts of members, late replicas, evacuations, changed regions and other writers."""

    def __init__(self, soak: "Soak") -> None:
        self._soak = soak
        self._fleet = soak.fleet
        self._evacuated = Deadlines(EVACUATION_SECONDS)
        self._leaving = Deadlines(DRAIN_SECONDS)
        self._cold = ColdMembers(WARM_UP_SECONDS, COLD_EXCESS * WARM_UP_RATE + COLD_SLACK)
        self._reported: set[tuple[str, str, float]] = set()
        self._ordered: dict[str, bool] = {}  # whether a zone's last order is an evacuation
        self._killed_at = float("-inf")
        first, _, _ = self._fleet.members[0].host.rpartition(".")
        self._stranger_address = f"{first}.99", MEMBER_PORT
        self._stranger: asyncio.Server | None = None

    @property
    def tasks(self) -> list[Callable[[random.Random], Coroutine[Any, Any, None]]]:
        """The faults; each has a random generator of its own."""
        return [
            self.evacuate_zones,
            self.restart_members,
            self.announce_as_others,
            self.change_regions,
            self.kill_processes,
            self.delay_replicas,
        ]

    def start(self) -> list[asyncio.Task[None]]:
        return [
            asyncio.ensure_future(task(random.Random(f"{task.__name__} {self._soak.seed}")))
            for task in self.tasks
        ]

    async def replace_unused_primary(self) -> asyncio.Task[None]:
        """Have the primary leave, and wait until it should get nothing more.

        Before the first clients no gateway uses the service, so that samples don't tell of the
        replacement. Returns the task in which the member goes on to run and starts again.
        """
        rng = random.Random(f"unused primary {self._soak.seed}")
        member = self._soak.group.primary
        task = asyncio.ensure_future(self._leave_and_start_again(member, rng))
        while not self._leaving.is_overdue(member.instance, self._now()):
            await asyncio.sleep(0.1)
        return task

    async def _leave_and_start_again(self, member: Member, rng: random.Random) -> None:
        with self._fleet.mark_busy(member.instance):
            self._log(f"leave and restart of {member.instance}")
            await self._leave(member, rng)
            await self._start_again(member, rng)

    async def clear(self) -> None:
        """End all evacuations, which a fault that was cancelled may have left."""
        for zone in sorted(self._ordered):
            await self._end_evacuation(zone)
        if self._stranger is not None:
            self._stranger.close()

    def is_evacuated(self, zone: str) -> bool:
        return self._ordered.get(zone, False)

    async def check_members(self) -> None:
        """Check that the control nodes know the members, and no others."""
        expected = f"rowanrail_control_members {float(len(self._fleet.members))}"
        for host in self._fleet.control_hosts:
            if expected not in await self._fleet.metrics(host):
                self._report("ANNOUNCED", host, 0.0, "it does not know exactly the members")

    # What arrives at the members

    def on_arrival(self, member: Member, peer: tuple[str, int], line: str) -> None:
        """Check a line that a member received."""
        words = line.split(" ")
        if words[0] != "QUERY":
            return
        is_client = words[1] != "-"  # a gateway's own commands, such as samples, have no id
        words = words[4:] if words[2] == "AFTER" else words[2:]
        if words[0] not in CLIENT_WORDS:
            return
        now = self._now()
        zone, instance = member.zone, member.instance
        if is_client and self._evacuated.is_overdue(zone, now):
            began = self._evacuated.began(zone)
            rule = "LOST" if self._killed_at > began else "EVAC"
            self._report_sender(rule, zone, began, peer, f"{line} at {instance}")
        if is_client and self._leaving.is_overdue(instance, now):
            self._report_sender("DRAIN", instance, self._leaving.began(instance), peer, line)
        count = self._cold.count(instance, now)
        if count and self._cold.is_exceeded(instance):
            self._report("FAILBACK", instance, now // 1, f"{count} in a second while cold")

    def check_region(
        self, tenant: str, region: str, arrived_at: float, peer: tuple[str, int]
    ) -> None:
        """Check the region in which a statement of a tenant with regions runs."""
        homes = self._soak.homes
        if not homes.allows(region, arrived_at):
            if homes.allowed_once(region):
                self._report_sender(
                    "HOME", f"{tenant} in {region}", arrived_at, peer, "a statement"
                )
            else:
                self._report("HOME", tenant, 0.0, f"a statement arrived in {region}")

    def _report_sender(
        self, rule: str, name: str, began: float, peer: tuple[str, int], text: str
    ) -> None:
        if (rule, name, began) in self._reported:
            return
        host = find_sender(peer[1], self._fleet.processes)
        now = self._now()
        # Without a host, the process has been killed since.
        if host and self._soak.is_undisturbed(host, now - CONTACT_SECONDS):
            self._report(rule, name, began, f"{host} sent {text}, {now - began:.1f} s later")

    def _report(self, rule: str, name: str, key: float, text: str) -> None:
        """Add a problem, once for each key."""
        if (rule, name, key) not in self._reported:
            self._reported.add((rule, name, key))
            self._soak.oracle.add_problem(f"{rule}: {name}, {text} ({time.time():.3f})")

    # Faults

    async def evacuate_zones(self, rng: random.Random) -> None:
        """Evacuate one zone after the other, with repeated orders by two operators."""
        while True:
            await asyncio.sleep(rng.uniform(*INTERVAL_SECONDS))
            zone, seconds = rng.choice(ZONES), rng.uniform(*EVACUATED_SECONDS)
            repeats = rng.random() < 0.5
            self._log(f"evacuation of {zone}")
            self._ordered[zone] = True
            await self._evacuate(zone)
            await asyncio.sleep(seconds / 2)
            if repeats:
                await self._evacuate(zone)
            await asyncio.sleep(seconds / 2)
            while self._now() - self._killed_at < EVACUATED_AFTER_KILL_SECONDS:
                await asyncio.sleep(RETRY_SECONDS)
            self._log(f"end of the evacuation of {zone}")
            await self._end_evacuation(zone)

    async def _evacuate(self, zone: str) -> None:
        def on_acknowledged() -> None:
            self._evacuated.begin(zone, self._now())

        await self._order(self._fleet.evacuate, zone, on_acknowledged)

    async def _end_evacuation(self, zone: str) -> None:
        now = self._now()
        if self._evacuated.end(zone, now):
            for member in self._fleet.members:
                if member.zone == zone:
                    self._cold.begin(member.instance, now)
        await self._order(self._fleet.end_evacuation, zone, lambda: None)
        self._ordered[zone] = False

    async def _order(
        self, call: Callable[..., Any], zone: str, on_acknowledged: Callable[[], None]
    ) -> None:
        """Have two operators repeat an order, each at another node, until both have an answer."""
        hosts = self._fleet.control_hosts

        async def operate(position: int) -> None:
            while (status := await call(zone, hosts[position % len(hosts)])) != 200:
                if status not in (0, 503):
                    self._report("EVAC", zone, status, f"an order was refused with {status}")
                position += 1
                await asyncio.sleep(RETRY_SECONDS)
            on_acknowledged()

        try:
            async with asyncio.timeout(ACKNOWLEDGEMENT_SECONDS):
                await asyncio.gather(operate(0), operate(1))
        except TimeoutError:
            self._report("EVAC", zone, self._now(), "an order was not acknowledged")

    async def restart_members(self, rng: random.Random) -> None:
        """Start members again under their id with an empty log; some leave first."""
        while True:
            await asyncio.sleep(rng.uniform(*INTERVAL_SECONDS))
            member, leaves = rng.choice(self._fleet.members), rng.random() < LEAVING_SHARE
            if any(other.instance in self._fleet.busy for other in self._fleet.members):
                continue  # at most one member may be down at a time
            if leaves:
                await self._leave_and_start_again(member, rng)
                continue
            with self._fleet.mark_busy(member.instance):
                self._log(f"restart of {member.instance}")
                await self._start_again(member, rng)

    async def _leave(self, member: Member, rng: random.Random) -> None:
        self._fleet.states[member.instance] = "draining"
        try:
            while not await self._announce_leaving(member):
                await asyncio.sleep(RETRY_SECONDS)
            self._leaving.begin(member.instance, self._now())
            await asyncio.sleep(rng.uniform(*LEAVING_SECONDS))
        finally:
            if asyncio.current_task().cancelling():  # type: ignore[union-attr]
                self._leaving.end(member.instance, self._now())
                del self._fleet.states[member.instance]

    async def _announce_leaving(self, member: Member) -> bool:
        hosts = self._fleet.control_hosts
        return any([await self._fleet.heartbeat(h, member, "draining") == 200 for h in hosts])

    async def _start_again(self, member: Member, rng: random.Random) -> None:
        """Start a new life of a member, and deliver an announcement of the earlier one late."""
        earlier = member.heartbeat(self._fleet.states.get(member.instance, "ready"))
        is_removed, late_seconds = rng.random() < 0.5, rng.uniform(0.3, 1.5)
        with self._soak.disturb_member(member):
            self._fleet.states[member.instance] = "gone"
            self._soak.group.lose_log(member)
            member.stop()
            try:
                await asyncio.sleep(rng.uniform(*OUTAGE_SECONDS))
            finally:
                await member.start_again(max(earlier["born"] + 1, int(time.time() * 1000)))
                self._leaving.end(member.instance, self._now())
                self._cold.begin(member.instance, self._now())
                del self._fleet.states[member.instance]
        await asyncio.sleep(late_seconds)
        method, body = ("DELETE", {"born": earlier["born"]}) if is_removed else ("PUT", earlier)
        host = rng.choice(self._fleet.control_hosts)
        await self._send(method, host, member.instance, json=body)

    async def announce_as_others(self, rng: random.Random) -> None:
        """Send announcements that name no member, with an address of their own."""
        self._stranger = await asyncio.start_server(self._on_connected, *self._stranger_address)
        while True:
            await asyncio.sleep(rng.uniform(*STRANGER_INTERVAL_SECONDS))
            member = rng.choice(self._fleet.members)
            instance = rng.choice([member.instance, f"made-up-{rng.randrange(5)}"])
            host, port = self._stranger_address
            sequence = member.sequence + rng.randrange(1000)
            valid = member.heartbeat() | {"addr": f"{host}:{port}", "call-seq": sequence}
            member.sequence -= 1
            body = rng.choice(self._invalid_bodies(valid))
            sent = {"data": body} if isinstance(body, bytes) else {"json": body}
            status = await self._send(
                "PUT", rng.choice(self._fleet.control_hosts), instance, **sent
            )
            if status == 200:
                self._report("ANNOUNCED", instance, self._now(), f"{body!r} was accepted")

    @staticmethod
    def _invalid_bodies(valid: dict[str, Any]) -> list[dict[str, Any] | bytes]:
        changes: list[dict[str, Any]] = [
            {"state": "resting"},
            {"db-role": 7},
            {"slots": -1},
            {"call-seq": "1"},
            {"born": 1.5},
            {"zone": "made-up"},
            {"version": "v" * 5000},
        ]
        bodies: list[dict[str, Any] | bytes] = [{**valid, **change} for change in changes]
        missing = ("born", "db-role", "addr", "service", "state")
        bodies += [{k: v for k, v in valid.items() if k != name} for name in missing]
        return [*bodies, b"\xff\xfe", b"[" * 4000, b""]

    def _on_connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host = find_sender(writer.get_extra_info("peername")[1], self._fleet.processes)
        self._report("ANNOUNCED", host, 0.0, "connected to an address of another writer")
        writer.close()

    async def change_regions(self, rng: random.Random) -> None:
        """Change the regions in which a tenant's statements may run."""
        while True:
            await asyncio.sleep(rng.uniform(*INTERVAL_SECONDS))
            others = [r for r in REGION_CHOICES if r != self._soak.bound_regions]
            self._soak.bound_regions = rng.choice(others)
            self._log(f"regions {'+'.join(self._soak.bound_regions)}")
            self._soak.config_version += 1
            await self._soak.put_config(self._soak.build_config())

    async def kill_processes(self, rng: random.Random) -> None:
        """Kill all processes, or those of the zone with a minority of the control nodes."""
        while True:
            await asyncio.sleep(rng.uniform(*KILL_INTERVAL_SECONDS))
            all_hosts = [*self._fleet.control_hosts, *self._fleet.proxy_hosts]
            is_total, outage = rng.random() < 0.6, rng.uniform(*OUTAGE_SECONDS)
            hosts = all_hosts if is_total else self._hosts_of_last_zone()
            while self._fleet.busy.intersection(all_hosts):
                await asyncio.sleep(0.02)
            self._log(f"kill of {'all processes' if is_total else 'a zone'}")
            with contextlib.ExitStack() as stack:
                for host in hosts:
                    stack.enter_context(self._fleet.mark_busy(host))
                    self._fleet.kill(host)
                if is_total:
                    self._killed_at = self._now()
                await asyncio.sleep(outage)
                for host in hosts:
                    self._fleet.restart(host)
                await asyncio.sleep(1.0)
                for host in hosts:
                    self._soak.record_disturbance(host)

    async def delay_replicas(self, rng: random.Random) -> None:
        """Let replicas receive commits later than a promotion takes, for a while."""
        group = self._soak.group
        usual = group.lag_seconds
        while True:
            await asyncio.sleep(rng.uniform(*INTERVAL_SECONDS))
            self._log("late replicas")
            group.lag_seconds = LATE_REPLICA_SECONDS
            try:
                await asyncio.sleep(rng.uniform(*LATE_SPELL_SECONDS))
            finally:
                group.lag_seconds = usual

    def _hosts_of_last_zone(self) -> list[str]:
        return [*self._fleet.control_hosts[1::2], *self._fleet.proxy_hosts[1::2]]

    async def _send(self, method: str, host: str, instance: str, **body: Any) -> int:
        url = f"http://{host}:{CONTROL_PORT}/instances/{instance}"
        return await self._fleet._call(method, url, **body)

    def _log(self, fault: str) -> None:
        self._soak.oracle.verdict.faults += 1
        self._soak.fault_log.append(fault)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
