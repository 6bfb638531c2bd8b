"""The programs as processes on loopback addresses, with stand-in members."""

import asyncio
import contextlib
import os
import resource
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp

from tests.support.line_member import Group, Member, Platform

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PORT, RPC_PORT, CLIENT_PORT, READY_PORT = 18701, 18702, 18703, 18704
MEMBER_PORT, PROMOTE_PORT = 18705, 18706
HEARTBEAT_SECONDS = 0.3
LOG_TAIL_CHARS = 6000
METRICS = "18707/metrics"
# Second number of all addresses; test runs that are side by side need different ones.
DEFAULT_NETWORK = int(os.environ.get("ROWANRAIL_TEST_NETWORK", "0"))
KIND_BY_HOST = {
    "orders": "primary",
    "reports": "bounded_staleness",
    "carts": "read_your_writes",
}


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration document with a route for each consistency level."""
    routes = [
        {
            "name": f"r-{host}",
            "host": host,
            "path-prefix": "/",
            "kind": kind,
            "timeout-ms": 1000,
            "target-latency-ms": 800,
            "priority": 1,
            "service": "db",
            "max-staleness-ms": 1000,
        }
        for host, kind in KIND_BY_HOST.items()
    ]
    services = [{"name": "db", "max-conns": 40, "sync-replicas": 0}]
    limits = {"max-body-bytes": 262144, "idle-tx-ms": 3000}
    document = {"version": version, "routes": routes, "services": services, "limits": limits}
    return {**document, **changes}


class PlatformFleet:
    """A fleet of control nodes, proxies, three stand-in members and the promote call.

    :param controls: number of control nodes.
    :param proxies: number of proxies.
    :param control_regions: the regions that control nodes know, None for those of the proxies.
    :param network: second number of all addresses; fleets that run side by side need
        different ones.
    :param other_checkout: another checkout, from which every second process is started, such
        that each zone has processes of both. Restarts of a process take its code from the
        other checkout the first time, from the same one the second time, and so on.
    """

    def __init__(
        self,
        controls: int,
        proxies: int,
        zones: tuple[str, ...] = ("a",),
        group: Group | None = None,
        regions: dict[str, str] | None = None,
        control_zones: tuple[str, ...] = ("a",),
        control_regions: dict[str, str] | None = None,
        network: int = DEFAULT_NETWORK,
        member_type: type[Member] = Member,
        holders: str = "hashed",
        other_checkout: Path | None = None,
    ) -> None:
        self.checkouts = [ROOT] if other_checkout is None else [ROOT, other_checkout]
        self.started: dict[str, list[Path]] = {}
        self.promote_host = f"127.{network}.10.1"
        self.regions = regions or {}
        self.control_regions = self.regions if control_regions is None else control_regions
        self.holders = holders
        self.control_zones = control_zones
        self.zones = zones
        self.busy: set[str] = set()
        self.control_hosts = [f"127.{network}.7.{number + 1}" for number in range(controls)]
        self.proxy_hosts = [f"127.{network}.8.{number + 1}" for number in range(proxies)]
        self.group = group or Group("db")
        self.members = [
            member_type(
                self.group, f"i-{number}", f"127.{network}.9.{number + 1}", MEMBER_PORT, number == 0
            )
            for number in range(3)
        ]
        self.platform = Platform([self.group])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.states: dict[str, str] = {}
        self.sends_heartbeats = True
        self._stack = contextlib.AsyncExitStack()
        self._heartbeats: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "PlatformFleet":
        self.folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self.http = await self._stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.5))
        )
        await self._check_addresses()
        await self.platform.start(self.promote_host, PROMOTE_PORT)
        for member in self.members:
            await member.start()
        for host in self.control_hosts:
            self.start_control(host, bootstrap=True)
        for host in self.proxy_hosts:
            self.start_proxy(host)
        self._heartbeats = [
            asyncio.ensure_future(self._send_heartbeats(member)) for member in self.members
        ]
        await self.until(lambda: self.put(configuration(1)), 200)
        for host in self.proxy_hosts:
            await self.until(lambda host=host: self.ready(host), 200)
        return self

    async def _check_addresses(self) -> None:
        """Check that no other process listens on the fleet's addresses.

        Processes left behind by a killed run would be taken for this fleet's own.

        :raises RuntimeError: if an address is in use.
        """
        places = [(host, CONTROL_PORT) for host in self.control_hosts]
        places += [(host, CLIENT_PORT) for host in self.proxy_hosts]
        for host, port in places:
            try:
                _, writer = await asyncio.open_connection(host, port)
            except OSError:
                continue
            writer.close()
            raise RuntimeError(f"{host}:{port} is taken: end the other run, or use another network")

    async def __aexit__(self, *error: object) -> None:
        if error[0] is not None:
            for host, process in self.processes.items():
                print(f"== {host}, exit code {process.poll()}\n{self.log(host)[-LOG_TAIL_CHARS:]}")
        for task in self._heartbeats:
            task.cancel()
        for process in self.processes.values():
            process.kill()
            process.wait()
        for member in self.members:
            member.stop()
        await self.platform.stop()
        await self._stack.aclose()

    # Processes

    def start_control(self, host: str, bootstrap: bool) -> None:
        zone = self.control_zones[self.control_hosts.index(host) % len(self.control_zones)]
        lines = [
            f"name: control-{host}",
            f"zone: {zone}",
            f"data_folder: {self.folder / host}",
            f"listen: {host}:{CONTROL_PORT}",
            f"host: {host}",
            "tolerated_losses: 1",
            f"promoter_address: {self.promote_host}:{PROMOTE_PORT}",
            f"bootstrap: {'true' if bootstrap else 'false'}",
            f"metrics: {METRICS}",
        ]
        if len(self.checkouts) == 1:  # earlier versions refuse the setting
            lines.append(f"regions: {self.control_regions}")
        number = self.control_hosts.index(host)
        self._start("control", host, lines, self._checkout(host, number, len(self.control_zones)))

    @contextlib.contextmanager
    def mark_busy(self, name: str) -> Iterator[None]:
        """Mark a process or member as the target of a fault."""
        self.busy.add(name)
        try:
            yield
        finally:
            self.busy.discard(name)

    def restart(self, host: str) -> None:
        if host in self.control_hosts:
            self.start_control(host, bootstrap=False)
        else:
            self.start_proxy(host)

    def start_proxy(self, host: str) -> None:
        zone = self.zones[self.proxy_hosts.index(host) % len(self.zones)]
        lines = [
            f"name: proxy-{host}",
            f"zone: {zone}",
            f"listen: {host}:{CLIENT_PORT}",
            f"ready_listen: {host}:{READY_PORT}",
            "stop_seconds: 3",
            f"metrics: {METRICS}",
            f"regions: {self.regions}",
            f"features: {['tenants'] if self.regions else []}",
        ]
        number = self.proxy_hosts.index(host)
        self._start("proxy", host, lines, self._checkout(host, number, len(self.zones)))

    def _checkout(self, host: str, number: int, zones: int) -> Path:
        """Return the checkout from which the next start of a process takes its code."""
        again = len(self.started.get(host, []))
        first = number + number // zones  # both checkouts in each zone
        return self.checkouts[(first + (again + 1) // 2) % len(self.checkouts)]

    def _start(self, role: str, host: str, lines: list[str], checkout: Path) -> None:
        seeds = [f"{control}:{CONTROL_PORT}" for control in self.control_hosts]
        common = [f"control_nodes: {seeds}", f"rpc_port: {RPC_PORT}", "protocol: lines"]
        common.append(f"holders: {self.holders}")
        path = self.folder / f"{host}.yaml"
        path.write_text("\n".join([*lines, *common]) + "\n")
        self.started.setdefault(host, []).append(checkout)
        with (self.folder / f"{host}.log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, str(checkout / "platform" / "main.py"), role],
                env={**os.environ, "ROWANRAIL_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    def kill(self, host: str) -> None:
        self.processes[host].kill()
        self.processes[host].wait()

    def terminate(self, host: str) -> None:
        self.processes[host].send_signal(signal.SIGTERM)

    def fill_disk(self, host: str, full: bool) -> None:
        """Make writes that extend a file of the process fail, or succeed again.

        This includes its log file: lines written meanwhile are lost.
        """
        limit = 0 if full else resource.RLIM_INFINITY
        process = self.processes[host].pid
        resource.prlimit(process, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    async def leader(self) -> str:
        """Return the control node that reports to be leader, empty if not exactly one does."""
        leaders = []
        for host in self.control_hosts:
            try:
                if "rowanrail_control_leader 1.0" in await self.metrics(host):
                    leaders.append(host)
            except (aiohttp.ClientError, TimeoutError):
                continue  # a node that does not answer is not counted as leader
        return leaders[0] if len(leaders) == 1 else ""

    def log(self, host: str) -> str:
        return (self.folder / f"{host}.log").read_text()

    # External requests

    async def _send_heartbeats(self, member: Member) -> None:
        position = 0
        while True:
            if self.sends_heartbeats and member.connections is not None:
                state = self.states.get(member.instance, "ready")
                if state != "gone":
                    host = self.control_hosts[position % len(self.control_hosts)]
                    status = await self.heartbeat(host, member, state)
                    position += status != 200
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def heartbeat(self, host: str, member: Member, state: str) -> int:
        url = f"http://{host}:{CONTROL_PORT}/instances/{member.instance}"
        return await self._call("PUT", url, json=member.heartbeat(state))

    async def add(self, member: Member) -> None:
        """Start a further member and its heartbeats."""
        self.members.append(member)
        await member.start()
        self._heartbeats.append(asyncio.ensure_future(self._send_heartbeats(member)))

    async def remove(self, member: Member, host: str = "") -> int:
        """Announce that a member has ended."""
        host = host or self.control_hosts[0]
        url = f"http://{host}:{CONTROL_PORT}/instances/{member.instance}"
        return await self._call("DELETE", url)

    async def put(self, document: Any, host: str = "") -> int:
        url = f"http://{host or self.control_hosts[0]}:{CONTROL_PORT}/config"
        if isinstance(document, bytes):
            return await self._call("PUT", url, data=document)
        return await self._call("PUT", url, json=document)

    async def get(self, host: str = "") -> tuple[int, Any]:
        url = f"http://{host or self.control_hosts[0]}:{CONTROL_PORT}/config"
        try:
            async with self.http.get(url) as response:
                body = await response.json(content_type=None)
                return response.status, body
        except (aiohttp.ClientError, TimeoutError):
            return 0, None

    async def evacuate(self, zone: str, host: str = "") -> int:
        return await self._call("POST", self._evacuation_url(zone, host))

    async def end_evacuation(self, zone: str, host: str = "") -> int:
        return await self._call("DELETE", self._evacuation_url(zone, host))

    def _evacuation_url(self, zone: str, host: str) -> str:
        return f"http://{host or self.control_hosts[0]}:{CONTROL_PORT}/evacuate/{zone}"

    async def ready(self, host: str) -> int:
        return await self._call("GET", f"http://{host}:{READY_PORT}/ready")

    async def metrics(self, host: str) -> str:
        async with self.http.get(f"http://{host}:{METRICS}") as response:
            return await response.text()

    async def _call(self, method: str, url: str, **body: Any) -> int:
        try:
            async with self.http.request(method, url, **body) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def until(self, ask: Any, wanted: Any, seconds: float = 15.0) -> None:
        """Call ``ask`` repeatedly until it returns ``wanted``."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while (answer := await ask()) != wanted:
            if loop.time() > deadline:
                raise AssertionError(f"last answer {answer!r}, wanted {wanted!r}")
            await asyncio.sleep(0.05)

    async def client(self, database: str, host: str = "") -> "LineClient":
        client = LineClient(host or self.proxy_hosts[0])
        await client.start(database)
        return client


class LineClient:
    """A client that speaks the line protocol."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.number = 0

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(self.host, CLIENT_PORT)

    async def start(self, database: str, key: str = "tester") -> str:
        await self.connect()
        self.writer.write(f"START {database} {key}\r\n".encode())
        return await self.line()

    async def line(self) -> str:
        data = await asyncio.wait_for(self.reader.readline(), 5)
        return data.decode().rstrip("\r\n")

    async def answer(self) -> list[str]:
        """Return the lines of one answer up to READY, or up to the end of the connection."""
        lines: list[str] = []
        while not lines or not lines[-1].startswith("READY"):
            line = await self.line()
            if not line:
                break
            lines.append(line)
        return lines

    async def query(self, text: str) -> list[str]:
        self.number += 1
        self.writer.write(f"QUERY q{id(self)}-{self.number} {text}\r\n".encode())
        return await self.answer()

    async def raw(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        self.writer.close()
