"""Client workload and fault injection of one soak run."""

import asyncio
import contextlib
import json
import random
import signal
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

from tests.soak.group import BOUND_TENANT, REGIONS, ObservedGroup
from tests.soak.members import SlottedMember
from tests.soak.oracle import TENANTS, Oracle, RequestedWrite, Verdict
from tests.soak.replacements import Replacements
from tests.soak.tasks import end_tasks
from tests.soak.zone_faults import FIRST_BORN_AGE_MS, WARM_UP, ZoneFaults
from tests.soak.zone_rules import HomeRegions
from tests.support.acknowledging_members import ReplacedPrimary
from tests.support.line_member import Member
from tests.support.platform_fleet import (
    DEFAULT_NETWORK,
    LineClient,
    PlatformFleet,
    configuration,
)

CONTROL_NODES = 3
PROXIES = 6
CLIENTS = 12
MAXIMUM_CONNECTIONS = 16  # small enough that the gateways of a zone share connections
FAULT_INTERVAL_SECONDS = (0.5, 2.0)
OUTAGE_SECONDS = (0.3, 2.0)
LATE_ORDER_SECONDS = (2.0, 12.0)  # after which an order without an answer is carried out
MEMBER_PAUSE_SECONDS = (0.2, 1.2)
PAUSE_INTERVAL_SECONDS = (2.0, 6.0)
RECOVERY_SECONDS = 6.0
DATABASES = ("orders", "carts")
FIRST_BOUND_REGIONS = ["r1"]
CONFIG_APPLY_SECONDS = 5.0  # config-apply-ms
CONFIG_PROPAGATION_SECONDS = 3.0  # after an acknowledgement, with two concurrent faults
DISK_RECOVERY_SECONDS = 1.0  # for a retry, every 0.5 s, and the catch-up with the leader
# Limit of each tenant: its three clients stay below it, OVERLOAD_CLIENTS more exceed it.
RATE_PER_SECOND, BURST = 150, 150
OVERLOAD_CLIENTS = 6
STATE_CHANGE_SHARE = 0.1  # share of requests that set a value or prepare a statement
LOAD_FAULT_SECONDS = (2.0, 5.0)
SLOWDOWN_FACTOR = 8.0  # on a member's service times
ROUTE_TIMEOUT_SECONDS = 1.0  # timeout-ms of the routes
LATE_ANSWER_SECONDS = 1.5  # tolerance beyond the timeout; the test's event loop may lag, too
KEY_REVOCATION_SECONDS = 5.0  # after which a revoked key must not open a session


class SoakClient:
    """A client with its own key that runs consecutive sessions on random proxies."""

    def __init__(self, soak: "Soak", number: int, deadline: float = float("inf")) -> None:
        self.soak = soak
        self.deadline = deadline
        self.host = ""
        self.random = random.Random(soak.seed * 1000 + number)
        self.key = f"k{number}"
        self.tenant = number % TENANTS
        self.acknowledged: list[str] = []
        # On a primary route all acknowledged writes, else those acknowledged in this session.
        self.expected_values: list[str] = []
        self.last_value_number = 0
        # Values set in the current session, and the shape of its prepared statement "w".
        self.values: dict[str, str] = {}
        self.shape = ""
        # A third of the clients keep a connection until it is lost.
        self.keeps_connection = number % 3 == 0

    @property
    def is_over(self) -> bool:
        return self.soak.is_over or asyncio.get_running_loop().time() > self.deadline

    async def run(self) -> None:
        while not self.is_over:
            self.host = self.random.choice(self.soak.fleet.proxy_hosts)
            client = LineClient(self.host)
            try:
                database = self.random.choice(DATABASES)
                key = self.soak.api_keys[self.tenant]
                if (await client.start(database, key)).startswith("READY"):
                    self.expected_values = self.acknowledged if database == "orders" else []
                    await self.run_session(client)
            except (OSError, TimeoutError, EOFError, ValueError):
                pass
            finally:
                if hasattr(client, "writer"):
                    client.close()
            await asyncio.sleep(0.05)

    def next_value(self) -> str:
        self.last_value_number += 1
        return f"{self.key}-{self.last_value_number}"

    async def run_session(self, client: LineClient) -> None:
        self.values, self.shape = {}, ""
        statements = self.random.randint(3, 30)
        while self.keeps_connection or statements > 0:
            statements -= 1
            if self.is_over:
                return
            draw = self.random.random()
            if draw < STATE_CHANGE_SHARE:
                await self.change_state(client)
            elif draw < 0.4:
                await self.write(client)
            elif draw < 0.55:
                await self.transaction(client)
            elif draw < 0.65:
                await self.read_only_transaction(client)
            else:
                await self.read(client)
            await asyncio.sleep(self.random.uniform(0.0, 0.03))

    async def query(self, client: LineClient, text: str) -> list[str]:
        """Return the lines of an answer, or one empty line if there is none."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            lines = await client.query(text) or [""]
        except (OSError, TimeoutError):
            return [""]
        late = loop.time() - began - ROUTE_TIMEOUT_SECONDS
        if late > LATE_ANSWER_SECONDS and self.soak.is_undisturbed(self.host, began):
            self.soak.oracle.add_problem(f"HELD: {text} was answered {late:.1f} s after its time")
        return lines

    async def change_state(self, client: LineClient) -> None:
        """Set a session value or prepare a new write."""
        if self.random.random() < 0.5:
            await self.set_session_value(client)
            return
        shape = self.next_value()
        await self.change_session(client, f"PREPARE w WRITE {shape}")
        self.shape = shape

    async def set_session_value(self, client: LineClient) -> None:
        value = self.next_value()
        await self.change_session(client, f"SET a {value}")
        self.values = {"a": value}

    async def change_session(self, client: LineClient, text: str) -> None:
        if not (await self.query(client, text))[0].startswith("DONE"):
            raise EOFError  # the session's state is now unknown

    def build_write(self, value: str, transaction: int = 0) -> str:
        """Return and record a write; half of them execute the prepared statement, if any."""
        shape = self.shape if self.random.random() < 0.5 else ""
        self.soak.oracle.record_request(
            value, RequestedWrite(dict(self.values), shape, transaction)
        )
        return f"EXECUTE w {self.key} {value}" if shape else f"WRITE {self.key} {value}"

    async def write(self, client: LineClient) -> None:
        value = self.next_value()
        lines = await self.query(client, self.build_write(value))
        self.record_answer((value,), lines)

    def record_answer(self, values: tuple[str, ...], lines: list[str]) -> None:
        self.soak.oracle.record_answer(values, lines[0])
        if lines[0].startswith("DONE"):
            self.acknowledged.extend(values)
            if self.expected_values is not self.acknowledged:
                self.expected_values.extend(values)
        elif not lines[0]:
            raise EOFError

    async def read(self, client: LineClient) -> None:
        expected_values = list(self.expected_values)
        lines = await self.query(client, f"READ {self.key}")
        if not lines[0]:
            raise EOFError
        if lines[0].startswith("ROW"):
            self.soak.oracle.check_read(lines[0].partition(" ")[2], expected_values)

    async def transaction(self, client: LineClient) -> None:
        values = (self.next_value(), self.next_value())
        begun = await self.query(client, "BEGIN")
        if not begun[0].startswith("DONE"):
            # The tenant is at its limit. Without a transaction, a write would commit by itself.
            if not begun[0]:
                raise EOFError
            return
        self.soak.transaction_count += 1
        transaction = self.soak.transaction_count
        for value in values:
            lines = await self.query(client, self.build_write(value, transaction))
            if not lines[0].startswith("DONE"):
                # COMMIT is never sent, so none of the writes may be committed, whatever the answer.
                self.soak.oracle.record_answer(values, "ERROR ABORTED")
                await self.query(client, "ROLLBACK")
                if not lines[0]:
                    raise EOFError
                return
        self.record_answer(values, await self.query(client, "COMMIT"))

    async def read_only_transaction(self, client: LineClient) -> None:
        """Read in a transaction, with a session value by which the oracle recognizes its reads."""
        await self.set_session_value(client)
        for text in ("BEGIN READ", f"READ {self.key}", f"READ {self.key}", "COMMIT"):
            lines = await self.query(client, text)
            if not lines[0]:
                raise EOFError
            if lines[0].startswith("ERROR"):
                await self.query(client, "ROLLBACK")
                return


class Soak:
    """One run: a fleet, its clients and injected faults."""

    def __init__(
        self,
        seconds: float,
        seed: int,
        network: int = DEFAULT_NETWORK,
        holders: str = "hashed",
        beside: Path | None = None,
        sync_replicas: int = 0,
    ) -> None:
        self.beside = beside
        self.sync_replicas = sync_replicas
        self.replacements: Replacements | None = None
        self.network = network
        self.holders = holders
        self.seconds = seconds
        self.seed = seed
        self.random = random.Random(seed)
        self.oracle = Oracle()
        self.is_over = False
        self.config_version = 2
        self.accepted_version = 0
        self.transaction_count = 0
        self.api_keys = [f"secret-{number}-0" for number in range(TENANTS)]
        self.fault_log: list[str] = []
        self.added_databases: list[str] = []
        self.client_count = CLIENTS
        self.stopping: set[str] = set()
        # Per host, the event loop's time at which the last fault on its process ended.
        self.disturbed_at: dict[str, float] = {}
        self.member_disturbed_at: dict[str, float] = {}
        self._member_faults: Counter[str] = Counter()
        self.bound_regions = FIRST_BOUND_REGIONS
        self.homes = HomeRegions(CONFIG_APPLY_SECONDS)

    async def run(self) -> Verdict:
        fleet = PlatformFleet(
            CONTROL_NODES,
            PROXIES,
            zones=("a", "b"),
            group=ObservedGroup("db"),
            regions=REGIONS,
            control_zones=("a", "b"),
            network=self.network,
            member_type=SlottedMember,
            holders=self.holders,
            other_checkout=self.beside,
        )
        assert isinstance(fleet.group, ObservedGroup)
        fleet.group.oracle, fleet.group.soak = self.oracle, self
        fleet.group.commit_times = []
        fleet.group.sync_replicas = self.sync_replicas
        fleet.group.replaced_primary = list(ReplacedPrimary)[self.seed % 3]
        self.fleet, self.group = fleet, fleet.group
        if self.sync_replicas:
            self.replacements = Replacements(self)
        if self.has_zone_faults:
            fleet.group.faults = ZoneFaults(self)
            for member in fleet.members:
                member.born = int(time.time() * 1000) - FIRST_BORN_AGE_MS
        async with fleet:
            await fleet.until(lambda: fleet.put(self.build_config()), 200)
            self.homes.accept(self.config_version, asyncio.get_running_loop().time())
            await asyncio.sleep(1.0)  # until all gateways have the configuration
            departures = await self._replace_unused_primary()
            clients = [asyncio.ensure_future(SoakClient(self, n).run()) for n in range(CLIENTS)]
            faults = [asyncio.ensure_future(self._inject_faults()) for _ in range(2)]
            faults.append(asyncio.ensure_future(self._pause_members()))
            if fleet.group.faults is not None:
                faults += fleet.group.faults.start()
            if self.replacements is not None:
                faults.append(asyncio.ensure_future(self.replacements.run()))
            await asyncio.sleep(self.seconds)
            await end_tasks([*faults, *departures])
            for ended in await asyncio.gather(*faults, return_exceptions=True):
                if not isinstance(ended, asyncio.CancelledError):
                    self.oracle.add_problem(f"faults ended before the run: {ended!r}")
            for ended in await asyncio.gather(*departures, return_exceptions=True):
                if isinstance(ended, Exception):
                    self.oracle.add_problem(f"the departure failed: {ended!r}")
            await self._clear_faults()
            before = self.oracle.verdict.acknowledged
            await asyncio.sleep(RECOVERY_SECONDS)
            if self.oracle.verdict.acknowledged == before:
                self.oracle.add_problem("RECOVER: nothing was acknowledged after the faults")
            self.is_over = True
            await asyncio.gather(*clients)
            self.oracle.check_limits(RATE_PER_SECOND, BURST)
            self.linked_proxies = await self._count_linked_proxies()
            self._check_logs()
            if fleet.group.faults is not None:
                await fleet.group.faults.check_members()
            await self._check_config_versions()
            self.oracle.check_promotions(fleet.platform.calls)
            primary_values = {value for _, writes in fleet.group.primary.log for _, value in writes}
            self.oracle.check_final_state(primary_values, self.sync_replicas)
        return self.oracle.verdict

    def build_config(self) -> dict[str, object]:
        service = {
            "name": "db",
            "max-conns": MAXIMUM_CONNECTIONS,
            "sync-replicas": self.sync_replicas,
        }
        services = [service | WARM_UP if self.has_zone_faults else service]
        tenants: list[dict[str, object]] = [
            {"name": f"t{number}", "api-keys": [key], "rate-per-s": RATE_PER_SECOND, "burst": BURST}
            for number, key in enumerate(self.api_keys)
        ]
        if self.has_zone_faults:
            tenants[BOUND_TENANT]["allowed-regions"] = self.bound_regions
            self.homes.send(self.config_version, self.bound_regions)
        document = configuration(self.config_version, services=services, tenants=tenants)
        first = document["routes"][0]
        document["routes"] += [{**first, "name": f"r-{d}", "host": d} for d in self.added_databases]
        return document

    async def _replace_unused_primary(self) -> list[asyncio.Task[None]]:
        """With odd seeds, have the primary replaced before clients come; return what goes on."""
        if self.group.faults is None or self.seed % 2 == 0:
            return []
        return [await self.group.faults.replace_unused_primary()]

    @property
    def has_zone_faults(self) -> bool:
        """Whether lives, evacuations and regions are tested; earlier versions ignore them.

        A member that starts again without its log may have had the only acknowledged copy.
        """
        return self.beside is None and not self.sync_replicas

    def _check_logs(self) -> None:
        offset = time.time() - asyncio.get_running_loop().time()
        for number, host in enumerate(self.fleet.proxy_hosts):
            region = REGIONS[self.fleet.zones[number % len(self.fleet.zones)]]
            for line in self.fleet.log(host).splitlines():
                if '"event":346' not in line:
                    continue
                if not self.homes.allows(region, json.loads(line)["time"] - offset):
                    self.oracle.add_problem(f"HOME: {host} was sent a text of other regions {line}")
        for host in [*self.fleet.proxy_hosts, *self.fleet.control_hosts]:
            if "secret-" in self.fleet.log(host):
                self.oracle.add_problem(f"SECRET: a key stands in the log of {host}")

    async def _check_config_versions(self) -> None:
        """Check that every control node returns the highest accepted version or a later one."""
        for host in self.fleet.control_hosts:
            status, document = await self.fleet.get(host)
            if status != 200 or document["version"] < self.accepted_version:
                returned = document["version"] if status == 200 else status
                self.oracle.add_problem(
                    f"CONFIG: {host} told {returned}, {self.accepted_version} was accepted"
                )

    async def _count_linked_proxies(self) -> int:
        """Return how many proxies have links to neighbours that are up."""
        count = 0
        for host in self.fleet.proxy_hosts:
            count += 'links{state="up"} 0.0' not in await self.fleet.metrics(host)
        return count

    @property
    def start_counts(self) -> tuple[int, int]:
        """The number of process starts, in total and from the other checkout."""
        checkouts = [each for host in self.fleet.started.values() for each in host]
        return len(checkouts), checkouts.count(self.beside) if self.beside else 0

    # Faults

    async def _inject_faults(self) -> None:
        kinds: list[Callable[[], object]] = [
            self._kill_proxy,
            self._freeze_proxy,
            self._stop_proxy,
            self._kill_control,
            self._freeze_control,
            self.crash_primary,
            self._deafen_replica,
            self._rotate_key,
            self._reload,
            self._fill_disk,
            self._add_route,
            self._rush,
            self._slow_member,
            self._small_member,
        ]
        if self.sync_replicas:
            kinds.append(self._leave_order_unanswered)
        while True:
            await asyncio.sleep(self.random.uniform(*FAULT_INTERVAL_SECONDS))
            kind = self.random.choice(kinds)
            self.oracle.verdict.faults += 1
            self.fault_log.append(kind.__name__)
            await kind()  # type: ignore[misc]

    async def _rush(self) -> None:
        """Add many clients of one tenant for a while."""
        tenant = self.random.randrange(TENANTS)
        deadline = asyncio.get_running_loop().time() + self.random.uniform(*LOAD_FAULT_SECONDS)
        clients = []
        for _ in range(OVERLOAD_CLIENTS):
            self.client_count += TENANTS  # a number of the same tenant
            clients.append(SoakClient(self, self.client_count + tenant, deadline).run())
        await asyncio.gather(*clients)

    async def _slow_member(self) -> None:
        """Multiply the service times of a member for a while."""
        member = self.random.choice(self.fleet.members)
        assert isinstance(member, SlottedMember)
        with self.disturb_member(member):
            member.slowdown = SLOWDOWN_FACTOR
            await asyncio.sleep(self.random.uniform(*LOAD_FAULT_SECONDS))
            member.slowdown = 1.0

    async def _small_member(self) -> None:
        """Limit a member to one statement at a time, below the slots that it announced."""
        member = self.random.choice(self.fleet.members)
        assert isinstance(member, SlottedMember)
        with self.disturb_member(member):
            member.active_slots = 1
            await asyncio.sleep(self.random.uniform(*LOAD_FAULT_SECONDS))
            member.active_slots = member.slots

    async def _pause_members(self) -> None:
        """Pause members one at a time: they accept connections and lines, but process nothing.

        Uses a random generator of its own, so that the other faults of a seed do not change.
        """
        rng = random.Random(f"silence {self.seed}")
        while True:
            await asyncio.sleep(rng.uniform(*PAUSE_INTERVAL_SECONDS))
            member = rng.choice(self.fleet.members)
            assert isinstance(member, SlottedMember)
            member.paused = True
            self.oracle.verdict.faults += 1
            self.fault_log.append(f"silence of {member.instance}")
            with self.disturb_member(member):
                try:
                    await asyncio.sleep(rng.uniform(*MEMBER_PAUSE_SECONDS))
                finally:
                    member.resume()

    def is_undisturbed(self, host: str, since: float) -> bool:
        """Return whether no fault has affected the process of ``host`` after ``since``."""
        return host not in self.fleet.busy and self.disturbed_at.get(host, 0.0) < since

    @contextlib.contextmanager
    def disturb_member(self, member: Member) -> Iterator[None]:
        """Mark a member as the target of a fault that makes it slow, silent or absent."""
        self._member_faults[member.instance] += 1
        try:
            yield
        finally:
            self._member_faults[member.instance] -= 1
            self.member_disturbed_at[member.instance] = asyncio.get_running_loop().time()

    def is_calm_member(self, instance: str, seconds: float) -> bool:
        """Return whether no fault has affected a member for some time."""
        since = asyncio.get_running_loop().time() - seconds
        disturbed_at = self.member_disturbed_at.get(instance, 0.0)
        return not self._member_faults[instance] and disturbed_at < since

    async def _rotate_key(self) -> None:
        """Replace a tenant's key and check that the revoked one no longer opens a session."""
        number = self.random.randrange(TENANTS)
        old = self.api_keys[number]
        self.config_version += 1
        self.api_keys[number] = f"secret-{number}-{self.config_version}"
        if not await self.put_config(self.build_config()):
            return  # no clear answer: the change may or may not be in force
        await asyncio.sleep(KEY_REVOCATION_SECONDS)
        host = self._choose_available(self.fleet.proxy_hosts)
        client = LineClient(host)
        try:
            first = await client.start("orders", old) if host else ""
        except (OSError, TimeoutError):
            return  # another fault has stopped or frozen the proxy
        finally:
            if hasattr(client, "writer"):
                client.close()
        if first.startswith("READY"):
            self.oracle.add_problem(f"CONFIG: a withdrawn key opened a session at {host}")

    async def _add_route(self) -> None:
        """Add a route and check that every proxy without a fault meanwhile accepts it."""
        self.config_version += 1
        database = f"added-{self.config_version}"
        self.added_databases.append(database)
        document = self.build_config()
        began = asyncio.get_running_loop().time()
        if not await self.put_config(document):
            return  # no clear answer: the change may or may not be in force
        await asyncio.sleep(CONFIG_PROPAGATION_SECONDS)
        for host in self.fleet.proxy_hosts:
            if host in self.fleet.busy or self.disturbed_at.get(host, 0.0) >= began:
                continue
            client = LineClient(host)
            try:
                first = await client.start(database, self.api_keys[0])
            except (OSError, TimeoutError):
                continue  # another fault has just stopped or frozen the proxy
            finally:
                if hasattr(client, "writer"):
                    client.close()
            if "NODB" in first:
                self.oracle.add_problem(
                    f"CONFIG: {host} does not know {database} of {self.config_version}"
                )

    async def put_config(self, document: dict[str, object]) -> bool:
        hosts = self.fleet.control_hosts
        for host in [*hosts, *hosts, *hosts]:
            if await self.fleet.put(document, host) == 200:
                version = int(str(document["version"]))
                self.accepted_version = max(self.accepted_version, version)
                self.homes.accept(version, asyncio.get_running_loop().time())
                return True
            await asyncio.sleep(0.5)
        return False

    async def _reload(self) -> None:
        """Send SIGHUP to a few processes in quick succession."""
        for _ in range(self.random.randint(1, 4)):
            host = self._choose_available([*self.fleet.proxy_hosts, *self.fleet.control_hosts])
            if host:
                self.fleet.processes[host].send_signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.0, 0.2))

    async def _fill_disk(self) -> None:
        """Add a route while the disk of a control node, often the leader, is full."""
        if any(host in self.fleet.busy for host in self.fleet.control_hosts):
            return
        host = self.random.choice(self.fleet.control_hosts)
        if self.random.random() < 0.5:
            host = await self.fleet.leader() or host
        with self.fleet.mark_busy(host):
            self.fleet.fill_disk(host, True)
            try:
                await self._add_route()
            finally:
                self.fleet.fill_disk(host, False)
            await asyncio.sleep(DISK_RECOVERY_SECONDS)

    def _choose_available(self, hosts: list[str]) -> str:
        """Return a random host that no other fault affects, or "" if there is none."""
        running = [host for host in hosts if host not in self.fleet.busy]
        return self.random.choice(running) if running else ""

    async def _kill_proxy(self) -> None:
        await self._stop_process(self.fleet.proxy_hosts, signal.SIGKILL)

    async def _stop_proxy(self) -> None:
        await self._stop_process(self.fleet.proxy_hosts, signal.SIGTERM)

    async def _kill_control(self) -> None:
        if not any(host in self.fleet.busy for host in self.fleet.control_hosts):
            await self._stop_process(self.fleet.control_hosts, signal.SIGKILL)

    async def _stop_process(self, hosts: list[str], signal_: signal.Signals) -> None:
        host = self._choose_available(hosts)
        if not host:
            return
        with self.fleet.mark_busy(host):
            self.stopping.add(host)
            self.fleet.processes[host].send_signal(signal_)
            await self._wait_for_exit(host)
            await asyncio.sleep(self.random.uniform(*OUTAGE_SECONDS))
            self.fleet.restart(host)
            self.stopping.discard(host)
            await asyncio.sleep(1.0)
            self.record_disturbance(host)

    async def _wait_for_exit(self, host: str) -> None:
        while self.fleet.processes[host].poll() is None:
            await asyncio.sleep(0.05)

    async def _freeze_proxy(self) -> None:
        await self._freeze(self.fleet.proxy_hosts)

    async def _freeze_control(self) -> None:
        if not any(host in self.fleet.busy for host in self.fleet.control_hosts):
            await self._freeze(self.fleet.control_hosts)

    async def _freeze(self, hosts: list[str]) -> None:
        host = self._choose_available(hosts)
        if not host:
            return
        with self.fleet.mark_busy(host):
            process = self.fleet.processes[host]
            process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(self.random.uniform(*OUTAGE_SECONDS))
            finally:
                process.send_signal(signal.SIGCONT)
                self.record_disturbance(host)

    def record_disturbance(self, host: str) -> None:
        self.disturbed_at[host] = asyncio.get_running_loop().time()

    async def crash_primary(self) -> None:
        primaries = [member for member in self.fleet.members if member.is_primary]
        if any(member.instance in self.fleet.busy for member in self.fleet.members):
            return  # at most one member may be down at a time
        for primary in primaries:  # none during a planned move
            if self.replacements is None or self.replacements.leaving != primary.instance:
                await self._crash(primary)

    async def _crash(self, member: Member) -> None:
        with self.fleet.mark_busy(member.instance), self.disturb_member(member):
            self.fleet.states[member.instance] = "gone"
            member.stop()
            await asyncio.sleep(3.0)
            if member.is_primary:
                self.fault_log.append(f"{member.instance} was not replaced within 3 s")
            await member.start()
            del self.fleet.states[member.instance]

    async def _leave_order_unanswered(self) -> None:
        """Crash the primary, and have the order to replace it carried out late, without an answer.

        The primary may be back before, and replicas may have started again.
        """
        self.fleet.platform.late = [self.random.uniform(*LATE_ORDER_SECONDS)]
        await self.crash_primary()

    async def _deafen_replica(self) -> None:
        replicas = [member for member in self.fleet.members if not member.is_primary]
        member = self.random.choice(replicas)
        assert isinstance(member, SlottedMember)
        member.receives = False
        await asyncio.sleep(self.random.uniform(*OUTAGE_SECONDS))
        member.receives = True
        self.group.replicate()

    async def _clear_faults(self) -> None:
        self.fleet.platform.late = []
        for host, process in list(self.fleet.processes.items()):
            if host in self.stopping:
                await self._wait_for_exit(host)  # signalled by a fault that was cancelled
            if process.poll() is not None:
                self.fleet.restart(host)
            else:
                process.send_signal(signal.SIGCONT)
                self.fleet.fill_disk(host, False)
        for member in self.fleet.members:
            assert isinstance(member, SlottedMember)
            member.receives = True
            if self.fleet.states.pop(member.instance, "") == "gone":
                await member.start()
        self.group.replicate()
        if self.group.faults is not None:
            await self.group.faults.clear()
