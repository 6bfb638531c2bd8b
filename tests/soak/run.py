"""Clients and faults of one soak."""

import asyncio
import random
import signal
from collections.abc import Callable
from pathlib import Path

from tests.soak.members import SlottedMember
from tests.soak.oracle import TENANTS, Asked, Execution, Oracle, Verdict
from tests.support.line_member import Group, Member
from tests.support.platform_fleet import LineClient, PlatformFleet, configuration

CONTROLS = 3
PROXIES = 6
CLIENTS = 12
MAXIMUM_CONNECTIONS = 16  # so few that the gateways of a zone share
FAULT_PAUSE = (0.5, 2.0)  # seconds
OUTAGE = (0.3, 2.0)
SILENCE = (0.2, 1.2)  # of a member
SILENCE_PAUSE = (2.0, 6.0)
RECOVERY_SECONDS = 6.0
DATABASES = ("orders", "carts")
REGIONS = {"a": "r1", "b": "r2"}
IN_FORCE_SECONDS = 3.0  # after an acknowledgement, with two faults at a time
REOPENED_SECONDS = 1.0  # a node tries its disk twice a second, and then hears the leader
# Of each tenant, so that its three clients stay below it and a rush of six more does not.
RATE_PER_SECOND, BURST = 150, 150
RUSHING_CLIENTS = 6
STATE_SHARE = 0.1  # of what clients ask: a session value, or a prepared name
RUSH_SECONDS = (2.0, 5.0)
SLOWNESS = 8.0  # factor on a member's work
STATEMENT_SECONDS = 1.0  # the route's time-out
HELD_SECONDS = (
    1.5  # later than that after its time no answer may come; the test's own loop lags, too
)
WITHDRAWN_SECONDS = 5.0  # after it a key that was taken away must open no session


class WatchedGroup(Group):
    """A group that tells an oracle what it commits, and what a promotion undoes."""

    oracle: Oracle

    def on_statement(self, tenant: str, key: str) -> None:
        self.oracle.ran(tenant, key)

    def wrote(self, value: str, run: Execution) -> None:
        self.oracle.wrote(value, run)

    def read_in_transaction(self, run: Execution) -> None:
        self.oracle.read_in_transaction(run)

    def on_operation(self, tenant: str) -> None:
        self.oracle.began(tenant, asyncio.get_running_loop().time())

    def commit(self, writes: list[tuple[str, str]]) -> None:
        self.oracle.committed(writes)
        super().commit(writes)

    def promote(self, instance: str) -> None:
        member = self.members[instance]
        if not member.is_primary:
            for _, writes in self.primary.log[len(member.log) :]:
                self.oracle.undone(writes)
        super().promote(instance)


class SoakClient:
    """One client with a key of its own: sessions one after the other, on any proxy."""

    def __init__(self, soak: "Soak", number: int, until: float = float("inf")) -> None:
        self.soak = soak
        self.until = until
        self.host = ""
        self.random = random.Random(soak.seed * 1000 + number)
        self.key = f"k{number}"
        self.tenant = number % TENANTS
        self.acknowledged: list[str] = []
        # Of a route that must see every commit all, else what this session had acknowledged.
        self.must_see: list[str] = []
        self.next = 0
        # What the session under way has set, and the shape of what it has prepared as "w".
        self.values: dict[str, str] = {}
        self.shape = ""
        # A third of the clients stay on a connection until it is lost.
        self.stays = number % 3 == 0

    @property
    def over(self) -> bool:
        return self.soak.over or asyncio.get_running_loop().time() > self.until

    async def run(self) -> None:
        while not self.over:
            self.host = self.random.choice(self.soak.fleet.proxy_hosts)
            client = LineClient(self.host)
            try:
                database = self.random.choice(DATABASES)
                key = self.soak.keys[self.tenant]
                if (await client.start(database, key)).startswith("READY"):
                    self.must_see = self.acknowledged if database == "orders" else []
                    await self.session(client)
            except (OSError, TimeoutError, EOFError, ValueError):
                pass
            finally:
                if hasattr(client, "writer"):
                    client.close()
            await asyncio.sleep(0.05)

    def value(self) -> str:
        self.next += 1
        return f"{self.key}-{self.next}"

    async def session(self, client: LineClient) -> None:
        self.values, self.shape = {}, ""
        statements = self.random.randint(3, 30)
        while self.stays or statements > 0:
            statements -= 1
            if self.over:
                return
            draw = self.random.random()
            if draw < STATE_SHARE:
                await self.change_state(client)
            elif draw < 0.4:
                await self.write(client)
            elif draw < 0.55:
                await self.transaction(client)
            elif draw < 0.65:
                await self.reading_transaction(client)
            else:
                await self.read(client)
            await asyncio.sleep(self.random.uniform(0.0, 0.03))

    async def ask(self, client: LineClient, text: str) -> list[str]:
        """Return the lines of an answer; an empty one stands for no answer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            lines = await client.query(text) or [""]
        except (OSError, TimeoutError):
            return [""]
        late = loop.time() - began - STATEMENT_SECONDS
        if late > HELD_SECONDS and self.soak.is_left_alone(self.host, began):
            self.soak.oracle.problem(f"HELD: {text} was answered {late:.1f} s after its time")
        return lines

    async def change_state(self, client: LineClient) -> None:
        """Set a value, or prepare a write anew."""
        if self.random.random() < 0.5:
            await self.set_value(client)
            return
        shape = self.value()
        await self.change(client, f"PREPARE w WRITE {shape}")
        self.shape = shape

    async def set_value(self, client: LineClient) -> None:
        value = self.value()
        await self.change(client, f"SET a {value}")
        self.values = {"a": value}

    async def change(self, client: LineClient, text: str) -> None:
        if not (await self.ask(client, text))[0].startswith("DONE"):
            raise EOFError  # what the session has now can't be known

    def next_write(self, value: str, transaction: int = 0) -> str:
        """Return a write, half of them by the prepared name, and tell the oracle of it."""
        shape = self.shape if self.random.random() < 0.5 else ""
        self.soak.oracle.asked(value, Asked(dict(self.values), shape, transaction))
        return f"EXECUTE w {self.key} {value}" if shape else f"WRITE {self.key} {value}"

    async def write(self, client: LineClient) -> None:
        value = self.value()
        lines = await self.ask(client, self.next_write(value))
        self.note((value,), lines)

    def note(self, values: tuple[str, ...], lines: list[str]) -> None:
        self.soak.oracle.answered(values, lines[0])
        if lines[0].startswith("DONE"):
            self.acknowledged.extend(values)
            if self.must_see is not self.acknowledged:
                self.must_see.extend(values)
        elif not lines[0]:
            raise EOFError

    async def read(self, client: LineClient) -> None:
        must_see = list(self.must_see)
        lines = await self.ask(client, f"READ {self.key}")
        if not lines[0]:
            raise EOFError
        if lines[0].startswith("ROW"):
            self.soak.oracle.read(lines[0].partition(" ")[2], must_see)

    async def transaction(self, client: LineClient) -> None:
        values = (self.value(), self.value())
        begun = await self.ask(client, "BEGIN")
        if not begun[0].startswith("DONE"):
            # A tenant at its limit: there is no transaction, and a write would stand alone.
            if not begun[0]:
                raise EOFError
            return
        self.soak.transactions += 1
        transaction = self.soak.transactions
        for value in values:
            lines = await self.ask(client, self.next_write(value, transaction))
            if not lines[0].startswith("DONE"):
                # Its commit is never sent: whatever was said, nothing of it may be kept.
                self.soak.oracle.answered(values, "ERROR ABORTED")
                await self.ask(client, "ROLLBACK")
                if not lines[0]:
                    raise EOFError
                return
        self.note(values, await self.ask(client, "COMMIT"))

    async def reading_transaction(self, client: LineClient) -> None:
        """Read in a transaction, under a value by which its reads are known where they run."""
        await self.set_value(client)
        for text in ("BEGIN READ", f"READ {self.key}", f"READ {self.key}", "COMMIT"):
            lines = await self.ask(client, text)
            if not lines[0]:
                raise EOFError
            if lines[0].startswith("ERROR"):
                await self.ask(client, "ROLLBACK")
                return


class Soak:
    """One run: a fleet, clients, and faults two at a time."""

    def __init__(
        self,
        seconds: float,
        seed: int,
        network: int = 0,
        holders: str = "hashed",
        beside: Path | None = None,
    ) -> None:
        self.beside = beside
        self.network = network
        self.holders = holders
        self.seconds = seconds
        self.seed = seed
        self.random = random.Random(seed)
        self.oracle = Oracle()
        self.over = False
        self.version = 2
        self.accepted = 0
        self.transactions = 0
        self.keys = [f"secret-{number}-0" for number in range(TENANTS)]
        self.log: list[str] = []
        self.added: list[str] = []
        self.clients = CLIENTS
        self.ending: set[str] = set()
        # By process: when a fault last had it in hand, on the loop's clock.
        self.touched: dict[str, float] = {}

    async def run(self) -> Verdict:
        fleet = PlatformFleet(
            CONTROLS,
            PROXIES,
            zones=("a", "b"),
            group=WatchedGroup("db"),
            regions=REGIONS,
            control_zones=("a", "b"),
            network=self.network,
            member_type=SlottedMember,
            holders=self.holders,
            other_checkout=self.beside,
        )
        assert isinstance(fleet.group, WatchedGroup)
        fleet.group.oracle = self.oracle
        self.fleet = fleet
        async with fleet:
            await fleet.until(lambda: fleet.put(self._document()), 200)
            await asyncio.sleep(1.0)  # until all gateways have it
            clients = [asyncio.ensure_future(SoakClient(self, n).run()) for n in range(CLIENTS)]
            faults = [asyncio.ensure_future(self._cause_faults()) for _ in range(2)]
            faults.append(asyncio.ensure_future(self._silence_members()))
            await asyncio.sleep(self.seconds)
            for task in faults:
                task.cancel()
            for ended in await asyncio.gather(*faults, return_exceptions=True):
                if not isinstance(ended, asyncio.CancelledError):
                    self.oracle.problem(f"faults ended before the run: {ended!r}")
            await self._heal()
            before = self.oracle.verdict.acknowledged
            await asyncio.sleep(RECOVERY_SECONDS)
            if self.oracle.verdict.acknowledged == before:
                self.oracle.problem("RECOVER: nothing was acknowledged after the faults")
            self.over = True
            await asyncio.gather(*clients)
            self.oracle.judge_limits(RATE_PER_SECOND, BURST)
            self.forwarded = await self._forwarded()
            self._look_for_keys()
            await self._read_back()
            self.oracle.judge_orders(fleet.platform.calls)
            held = {value for _, writes in fleet.group.primary.log for _, value in writes}
            self.oracle.finish(held)
        return self.oracle.verdict

    def _document(self) -> dict[str, object]:
        services = [{"name": "db", "max-conns": MAXIMUM_CONNECTIONS, "sync-replicas": 0}]
        tenants = [
            {"name": f"t{number}", "api-keys": [key], "rate-per-s": RATE_PER_SECOND, "burst": BURST}
            for number, key in enumerate(self.keys)
        ]
        document = configuration(self.version, services=services, tenants=tenants)
        first = document["routes"][0]
        document["routes"] += [{**first, "name": f"r-{d}", "host": d} for d in self.added]
        return document

    def _look_for_keys(self) -> None:
        for host in [*self.fleet.proxy_hosts, *self.fleet.control_hosts]:
            if "secret-" in self.fleet.log(host):
                self.oracle.problem(f"SECRET: a key stands in the log of {host}")

    async def _read_back(self) -> None:
        """Judge that the highest version that was accepted can be read at every control node."""
        for host in self.fleet.control_hosts:
            status, document = await self.fleet.get(host)
            if status != 200 or document["version"] < self.accepted:
                told = document["version"] if status == 200 else status
                self.oracle.problem(f"CONFIG: {host} told {told}, {self.accepted} was accepted")

    async def _forwarded(self) -> int:
        """Return on how many proxies links to neighbours stand at the end."""
        count = 0
        for host in self.fleet.proxy_hosts:
            count += 'links{state="up"} 0.0' not in await self.fleet.metrics(host)
        return count

    @property
    def starts(self) -> tuple[int, int]:
        """Number of starts of processes, and how many of them were from the other checkout."""
        checkouts = [each for host in self.fleet.started.values() for each in host]
        return len(checkouts), checkouts.count(self.beside) if self.beside else 0

    # Faults

    async def _cause_faults(self) -> None:
        kinds: list[Callable[[], object]] = [
            self._kill_proxy,
            self._freeze_proxy,
            self._stop_proxy,
            self._kill_control,
            self._freeze_control,
            self._crash_primary,
            self._deafen_replica,
            self._rotate_key,
            self._reload,
            self._fill_disk,
            self._add_route,
            self._rush,
            self._slow_member,
            self._small_member,
        ]
        while True:
            await asyncio.sleep(self.random.uniform(*FAULT_PAUSE))
            kind = self.random.choice(kinds)
            self.oracle.verdict.faults += 1
            self.log.append(kind.__name__)
            await kind()  # type: ignore[misc]

    async def _rush(self) -> None:
        """Have many more clients of one tenant come for a while."""
        tenant = self.random.randrange(TENANTS)
        until = asyncio.get_running_loop().time() + self.random.uniform(*RUSH_SECONDS)
        rushing = []
        for _ in range(RUSHING_CLIENTS):
            self.clients += TENANTS  # numbers that differ by that are of one tenant
            rushing.append(SoakClient(self, self.clients + tenant, until).run())
        await asyncio.gather(*rushing)

    async def _slow_member(self) -> None:
        """Have a member take many times as long for its work."""
        member = self.random.choice(self.fleet.members)
        assert isinstance(member, SlottedMember)
        member.slowness = SLOWNESS
        await asyncio.sleep(self.random.uniform(*RUSH_SECONDS))
        member.slowness = 1.0

    async def _small_member(self) -> None:
        """Have a member run one statement at a time, though it announced more slots."""
        member = self.random.choice(self.fleet.members)
        assert isinstance(member, SlottedMember)
        member.usable = 1
        await asyncio.sleep(self.random.uniform(*RUSH_SECONDS))
        member.usable = member.slots

    async def _silence_members(self) -> None:
        """Have one member after the other take nothing for a while, though its connections stand.

        It draws apart from the other faults, so that these stay what they were for each seed.
        """
        random_ = random.Random(f"silence {self.seed}")
        while True:
            await asyncio.sleep(random_.uniform(*SILENCE_PAUSE))
            member = random_.choice(self.fleet.members)
            assert isinstance(member, SlottedMember)
            member.silent = True
            self.oracle.verdict.faults += 1
            self.log.append(f"silence of {member.instance}")
            try:
                await asyncio.sleep(random_.uniform(*SILENCE))
            finally:
                member.speak_again()

    def is_left_alone(self, host: str, since: float) -> bool:
        """Return whether no fault has had a process in hand since a moment."""
        return host not in self.fleet.busy and self.touched.get(host, 0.0) < since

    async def _rotate_key(self) -> None:
        """Take a tenant's key away and give it another; the old one must soon open nothing."""
        number = self.random.randrange(TENANTS)
        old = self.keys[number]
        self.version += 1
        self.keys[number] = f"secret-{number}-{self.version}"
        if not await self._put(self._document()):
            return  # no clear answer: the change may or may not be in force
        await asyncio.sleep(WITHDRAWN_SECONDS)
        host = self._free(self.fleet.proxy_hosts)
        client = LineClient(host)
        try:
            first = await client.start("orders", old) if host else ""
        except (OSError, TimeoutError):
            return  # it was stopped meanwhile by another fault
        finally:
            if hasattr(client, "writer"):
                client.close()
        if first.startswith("READY"):
            self.oracle.problem(f"CONFIG: a withdrawn key opened a session at {host}")

    async def _add_route(self) -> None:
        """Add a route; after a while no proxy that was left alone may refuse it."""
        self.version += 1
        database = f"added-{self.version}"
        self.added.append(database)
        document = self._document()
        began = asyncio.get_running_loop().time()
        if not await self._put(document):
            return  # no clear answer: the change may or may not be in force
        await asyncio.sleep(IN_FORCE_SECONDS)
        for host in self.fleet.proxy_hosts:
            if host in self.fleet.busy or self.touched.get(host, 0.0) >= began:
                continue
            client = LineClient(host)
            try:
                first = await client.start(database, self.keys[0])
            except (OSError, TimeoutError):
                continue  # another fault has just taken it in hand
            finally:
                if hasattr(client, "writer"):
                    client.close()
            if "NODB" in first:
                self.oracle.problem(f"CONFIG: {host} does not know {database} of {self.version}")

    async def _put(self, document: dict[str, object]) -> bool:
        hosts = self.fleet.control_hosts
        for host in [*hosts, *hosts, *hosts]:
            if await self.fleet.put(document, host) == 200:
                self.accepted = max(self.accepted, int(str(document["version"])))
                return True
            await asyncio.sleep(0.5)
        return False

    async def _reload(self) -> None:
        """Say to a few processes that their settings have changed, in quick succession."""
        for _ in range(self.random.randint(1, 4)):
            host = self._free([*self.fleet.proxy_hosts, *self.fleet.control_hosts])
            if host:
                self.fleet.processes[host].send_signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.0, 0.2))

    async def _fill_disk(self) -> None:
        """Let the disk of a control node, often the leader, take no more bytes; add a route."""
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
            await asyncio.sleep(REOPENED_SECONDS)

    def _free(self, hosts: list[str]) -> str:
        """Return a host whose process runs and that no other fault has in hand."""
        running = [host for host in hosts if host not in self.fleet.busy]
        return self.random.choice(running) if running else ""

    async def _kill_proxy(self) -> None:
        await self._end(self.fleet.proxy_hosts, signal.SIGKILL)

    async def _stop_proxy(self) -> None:
        await self._end(self.fleet.proxy_hosts, signal.SIGTERM)

    async def _kill_control(self) -> None:
        if not any(host in self.fleet.busy for host in self.fleet.control_hosts):
            await self._end(self.fleet.control_hosts, signal.SIGKILL)

    async def _end(self, hosts: list[str], how: signal.Signals) -> None:
        host = self._free(hosts)
        if not host:
            return
        with self.fleet.mark_busy(host):
            self.ending.add(host)
            self.fleet.processes[host].send_signal(how)
            await self._until_gone(host)
            await asyncio.sleep(self.random.uniform(*OUTAGE))
            self.fleet.restart(host)
            self.ending.discard(host)
            await asyncio.sleep(1.0)
            self._touch(host)

    async def _until_gone(self, host: str) -> None:
        while self.fleet.processes[host].poll() is None:
            await asyncio.sleep(0.05)

    async def _freeze_proxy(self) -> None:
        await self._freeze(self.fleet.proxy_hosts)

    async def _freeze_control(self) -> None:
        if not any(host in self.fleet.busy for host in self.fleet.control_hosts):
            await self._freeze(self.fleet.control_hosts)

    async def _freeze(self, hosts: list[str]) -> None:
        host = self._free(hosts)
        if not host:
            return
        with self.fleet.mark_busy(host):
            process = self.fleet.processes[host]
            process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(self.random.uniform(*OUTAGE))
            finally:
                process.send_signal(signal.SIGCONT)
                self._touch(host)

    def _touch(self, host: str) -> None:
        self.touched[host] = asyncio.get_running_loop().time()

    async def _crash_primary(self) -> None:
        primary = self.fleet.group.primary
        if any(member.instance in self.fleet.busy for member in self.fleet.members):
            return  # the other two must not be without a third
        await self._crash(primary)

    async def _crash(self, member: Member) -> None:
        with self.fleet.mark_busy(member.instance):
            self.fleet.states[member.instance] = "gone"
            member.stop()
            await asyncio.sleep(3.0)
            if member.is_primary:
                self.log.append(f"{member.instance} was not replaced within 3 s")
            await member.start()
            del self.fleet.states[member.instance]

    async def _deafen_replica(self) -> None:
        replicas = [member for member in self.fleet.members if not member.is_primary]
        member = self.random.choice(replicas)
        member.replication_paused = True
        await asyncio.sleep(self.random.uniform(*OUTAGE))
        member.replication_paused = False

    async def _heal(self) -> None:
        for host, process in list(self.fleet.processes.items()):
            if host in self.ending:
                await self._until_gone(host)  # it was told to stop, and its fault was cut short
            if process.poll() is not None:
                self.fleet.restart(host)
            else:
                process.send_signal(signal.SIGCONT)
                self.fleet.fill_disk(host, False)
        for member in self.fleet.members:
            member.replication_paused = False
            if self.fleet.states.pop(member.instance, "") == "gone":
                await member.start()
