"""Stand-ins of the second review, with the standard library only.

Members, the platform's promote call, operators and clients run in the script's process. The
project's programs run as processes of their own, with the commands of the deploy file, on loopback
addresses. Nothing here looks into the programs: what is judged is what clients, members, operators
and the platform see on their sockets.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ZONES = {
    "kgn-hall-a": "kingston",
    "mbj-hall-b": "montego",
    "mnd-hall-c": "mandeville",
}
HEARTBEAT_SECONDS = 1.2
OPERATOR_TIMEOUT_SECONDS = 1.0
FIRST_BACKOFF_SECONDS = 0.2
BACKOFF_GROWTH = 1.5


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def note(self, text):
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


# HTTP


async def http(host, port, method, path, body=b"", headers=(), seconds=OPERATOR_TIMEOUT_SECONDS):
    """Return status and body of one call on a new connection; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            return await exchange(reader, writer, host, method, path, body, headers)
    except (OSError, TimeoutError, EOFError, ValueError, IndexError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def exchange(reader, writer, host, method, path, body=b"", headers=()):
    """Send one request on an open connection and return status and body of the answer."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    if body:
        lines.append("Content-Type: application/json")
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    status = int((await reader.readline()).split(b" ")[1])
    length = 0
    while (line := (await reader.readline()).strip()):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return status, await reader.readexactly(length)


# Members


class Group:
    """One service: a primary and its replicas, which receive each commit after a lag."""

    def __init__(self, name, lag_seconds=0.008, sync_replicas=0):
        self.name = name
        self.lag_seconds = lag_seconds
        self.sync_replicas = sync_replicas
        self.on_promote = lambda member: None  # called before the others are rolled back
        self.term = 1
        self.members = {}
        self.signatures = set()

    @property
    def primary(self):
        return next((m for m in self.members.values() if m.is_primary), None)

    def sign(self):
        signature = f"{self.name}.{random.getrandbits(64):016x}"
        self.signatures.add(signature)
        return signature

    def commit(self, member, writes):
        member.log.append((self.term, writes))
        log = list(member.log)
        for other in self.members.values():
            if other is not member:
                asyncio.get_running_loop().call_later(self.lag_seconds, other.receive, log)

    def catch_up(self, member):
        """Send a replica the primary's log, as it is when its pause ends."""
        primary = self.primary
        if primary is not None and not primary.is_dark:
            log = list(primary.log)
            asyncio.get_running_loop().call_later(self.lag_seconds, member.receive, log)

    def has_replicated(self, member, length):
        """Return whether as many replicas as must acknowledge a commit have received it."""
        received = sum(
            len(other.log) >= length for other in self.members.values() if other is not member
        )
        return received >= self.sync_replicas

    def promote(self, instance):
        member = self.members[instance]
        if member.is_primary:
            return
        self.term += 1
        self.on_promote(member)
        member.lead_term = self.term
        for other in self.members.values():
            other.is_primary = other is member
            other.is_paused = False
            del other.log[len(member.log) :]
            for connection in other.connections:
                connection.has_lost_lead = True


class Member:
    """One member on its own address."""

    def __init__(self, group, instance, host, port, zone, is_primary, slots=3):
        self.group, self.instance, self.host, self.port = group, instance, host, port
        self.zone, self.is_primary, self.slots = zone, is_primary, slots
        self.lead_term = 1
        self.log = []
        self.sequence = 0
        self.connections = set()
        self.ran = []  # (time, text, who)
        self.state = "ready"
        self.is_cut_off = False
        self.is_dark = False  # it neither runs nor answers anything, nor sends its log
        self.is_paused = False  # it receives nothing, by PAUSE
        self.work_seconds = lambda: 0.0  # of a read, a write or a commit, which hold a slot
        self.free_slots = asyncio.Semaphore(slots)
        group.members[instance] = self

    @property
    def position(self):
        """TERM.NUMBER of the log; a primary's has the term in which it leads."""
        term = self.log[-1][0] if self.log else 1
        return f"{max(term, self.lead_term if self.is_primary else 1)}.{len(self.log)}"

    def has(self, term, number):
        """Return whether the log has a position."""
        if number > len(self.log) or term > self.group.term:
            return False
        return not number or self.log[number - 1][0] <= term

    def receive(self, log):
        if self.is_paused or self.is_primary:
            return
        if len(log) > len(self.log) and log[-1][0] == self.group.term:
            self.log = list(log)

    def value(self, thing, writes=()):
        data = {key: value for _, entry in self.log for key, value in entry}
        data.update(writes)
        return data.get(thing, "none")

    async def start(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: MemberConnection(self), self.host, self.port)

    def stop(self):
        self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def heartbeat(self):
        self.sequence += 1
        return {
            "service": self.group.name,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-ms": 0,
            "db-role": "primary" if self.is_primary else "replica",
            "call-seq": self.sequence,
        }


class MemberConnection(asyncio.Protocol):
    """The member's side of one connection."""

    def __init__(self, member):
        self.member = member
        self.buffer = b""
        self.is_started = False
        self.state = "I"
        self.is_plain = False
        self.has_lost_lead = False
        self.writes = []
        self.values = {}
        self.prepared = {}
        self.lines = asyncio.Queue()

    def connection_made(self, transport):
        self.transport = transport
        self.member.connections.add(self)
        self.task = asyncio.ensure_future(self.work())

    def connection_lost(self, exc):
        self.member.connections.discard(self)
        self.task.cancel()

    def data_received(self, data):
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self.lines.put_nowait(line.decode("latin-1"))

    async def work(self):
        """Run the lines in order; reads, writes and commits hold a slot for their work."""
        while True:
            line = await self.lines.get()
            while self.member.is_dark:
                await asyncio.sleep(0.01)
            words = line.split(" ")[2:]
            if words[:1] == ["AFTER"]:
                words = words[2:]
            seconds = self.member.work_seconds()
            before = len(self.member.log)
            if seconds and words and words[0] in ("READ", "WRITE", "EXECUTE", "COMMIT"):
                async with self.member.free_slots:
                    await asyncio.sleep(seconds)
                    lines = self.take(line)
            else:
                lines = self.take(line)
            if lines is None:
                continue
            if words and words[0] in ("WRITE", "EXECUTE", "COMMIT"):
                length = len(self.member.log)
                while length > before and not self.member.group.has_replicated(self.member, length):
                    await asyncio.sleep(0.002)
            self.ready(lines)

    def take(self, line):
        """Handle a line; return those of its answer, None without one."""
        word, _, rest = line.partition(" ")
        if not self.is_started:
            fields = rest.split(" ")
            wanted = fields[2] if len(fields) > 2 else self.member.instance
            if word != "START" or (fields[0], wanted) != (
                self.member.group.name,
                self.member.instance,
            ):
                self.transport.write(f"ERROR WRONGNODE {self.member.instance}\r\n".encode())
                self.transport.close()
                return None
            self.is_started = True
            return []
        if word == "QUIT":
            self.transport.close()
            return None
        request, _, text = rest.partition(" ")
        return self.run(request, text)

    def ready(self, lines):
        lines = [*lines, f"READY {self.state} {self.member.position}"]
        self.transport.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    def refuse(self, code):
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.member.instance}"]

    def run(self, request, text):
        member = self.member
        words = text.split(" ")
        if words[0] == "AFTER":
            term, _, number = words[1].partition(".")
            if not member.has(int(term), int(number)):
                return self.refuse("LAGGING")
            words = words[2:]
        if words[0] == "EXECUTE":
            if words[1] not in self.prepared:
                return self.refuse("UNKNOWN")
            words = [self.prepared[words[1]], *words[2:]]
        if self.state == "E" and words[0] not in ("ROLLBACK", "COMMIT"):
            return self.refuse("MALFORMED")
        if self.state == "T" and self.is_plain and self.has_lost_lead and words[0] != "ROLLBACK":
            if words[0] != "COMMIT" or self.writes:
                self.writes = []
                self.state = "I" if words[0] == "COMMIT" else "E"
                return [f"ERROR READONLY {member.instance}"]
        if words[0] == "READ":
            member.ran.append((time.monotonic(), request, " ".join(words)))
            return [
                f"ROW {member.group.name}/{words[1]}={member.value(words[1], self.writes)}",
                f"DONE {member.group.sign()}",
            ]
        if words[0] == "WRITE":
            if not member.is_primary or (self.state == "T" and not self.is_plain):
                return self.refuse("READONLY")
            member.ran.append((time.monotonic(), request, " ".join(words)))
            write = (words[1], " ".join(words[2:]))
            if self.state == "T":
                self.writes.append(write)
            else:
                member.group.commit(member, [write])
            return [f"DONE {member.group.sign()}"]
        if words[0] == "BEGIN":
            if len(words) == 1 and not member.is_primary:
                return self.refuse("READONLY")
            self.state, self.is_plain = "T", len(words) == 1
            self.writes, self.has_lost_lead = [], False
            return ["DONE -"]
        if words[0] == "COMMIT":
            failed, self.state = self.state != "T", "I"
            writes, self.writes = self.writes, []
            if failed:
                return [f"ERROR ABORTED {member.instance}"]
            if writes:
                member.group.commit(member, writes)
            return [f"DONE {member.group.sign()}"]
        if words[0] == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["DONE -"]
        if words[0] == "SET":
            self.values[words[1]] = " ".join(words[2:])
            return ["DONE -"]
        if words[0] == "PREPARE":
            self.prepared[words[1]] = words[2]
            return ["DONE -"]
        if words[0] == "RESET":
            self.values, self.prepared = {}, {}
            return ["DONE -"]
        if words[0] in ("STATUS", "RESUME", "PAUSE", "DEMOTE"):
            if words[0] == "PAUSE" and int(words[1]) > member.group.term and not member.is_primary:
                member.is_paused = True
            if words[0] == "RESUME" and member.is_paused:
                member.is_paused = False
                member.group.catch_up(member)
            if words[0] == "DEMOTE" and int(words[1]) > member.group.term and member.is_primary:
                member.is_primary = False
                for connection in member.connections:
                    connection.has_lost_lead = True
            role = "primary" if member.is_primary else "replica"
            term = member.group.term
            row = f"ROW {role} {term} {member.position} 0 {member.slots} 0 {len(member.connections)}"
            return [row, "DONE -"]
        return self.refuse("MALFORMED")


class Platform:
    """The platform's promote call, which checks fencing tokens."""

    def __init__(self, groups, promote_seconds=0.3):
        self.groups = {group.name: group for group in groups}
        self.promote_seconds = promote_seconds
        self.calls = []
        self.is_cut_off = False  # nothing reaches it
        self.late_seconds = 0.0  # after which an order is carried out that gets no answer
        self._newest = {}

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        if self.is_cut_off:
            await asyncio.sleep(3.0)
            writer.close()
            return
        with contextlib.suppress(OSError, EOFError, ValueError, IndexError):
            await reader.readline()
            headers = {}
            while (line := (await reader.readline()).strip()):
                name, _, value = line.partition(b":")
                headers[name.lower().decode()] = value.strip().decode()
            body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
            token, service = int(headers["fence-token"]), body["service"]
            late_seconds = self.late_seconds
            if late_seconds:
                self.calls.append((headers["duty-holder"], token, service, body["id"], "late"))
                await asyncio.sleep(late_seconds)
            status = 409 if token < self._newest.get(service, 0) else 200
            self.calls.append((headers["duty-holder"], token, service, body["id"], status))
            if status == 200:
                self._newest[service] = token
                promote = self.groups[service].promote
                asyncio.get_running_loop().call_later(self.promote_seconds, promote, body["id"])
            if not late_seconds:
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()


# The project's programs


class Fleet:
    """Control nodes, gateways, members and the platform of one small deployment."""

    def __init__(self, record, groups, controls=3, gateways=2, zones=None, promote_seconds=0.3, **settings):
        self.record = record
        self.regions = zones or ZONES
        self.network = random.randrange(20, 250)
        self.second = random.randrange(1, 200)
        self.ports = self._free_ports(6)
        self.control_port, self.rpc_port, self.front_port = self.ports[:3]
        self.ready_port, self.member_port, self.promote_port = self.ports[3:]
        zones = list(self.regions)
        self.controls = {self.host(7, n): zones[n % 3] for n in range(controls)}
        self.gateways = {self.host(8, n): zones[n % 3] for n in range(gateways)}
        self.groups = groups
        self.settings = settings
        self.platform = Platform(groups, promote_seconds)
        self.processes = {}
        self.seen_leader = ""
        self._tasks = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"].split(" ") for name, role in deploy["roles"].items()}
        number = 0
        for group in groups:
            for copy in range(3):
                zone = zones[copy]
                instance = f"i-{group.name}-{copy}"
                host = self.host(9, number)
                Member(group, instance, host, self.member_port, zone, copy == 0)
                number += 1

    def host(self, kind, number):
        return f"127.{self.network}.{kind}.{self.second + number + 1}"

    def _free_ports(self, count):
        """Return ports that are free on all loopback addresses."""
        sockets = []
        for _ in range(count):
            free = socket.socket()
            free.bind(("0.0.0.0", 0))
            sockets.append(free)
        ports = [free.getsockname()[1] for free in sockets]
        for free in sockets:
            free.close()
        return ports

    @property
    def members(self):
        return [member for group in self.groups for member in group.members.values()]

    async def start(self):
        await self.platform.start(self.host(10, 0), self.promote_port)
        for member in self.members:
            await member.start()
        for host in [*self.controls, *self.gateways]:
            self.start_process(host, bootstrap=True)
        self._tasks = [asyncio.ensure_future(self._beat(member)) for member in self.members]

    def start_process(self, host, bootstrap=False, seeds=()):
        """Start a process; ``seeds`` are the control nodes of its settings, by default all."""
        seeds = [f"{control}:{self.control_port}" for control in seeds or self.controls]
        common = {
            "control_nodes": seeds,
            "rpc_port": self.rpc_port,
            "protocol": "lines",
            "regions": self.regions,
            "metrics": "",
        }
        if host in self.controls:
            role = "control"
            settings = common | {
                "name": f"core-{host}",
                "zone": self.controls[host],
                "data_folder": str(self.folder / f"data-{host}"),
                "listen": f"{host}:{self.control_port}",
                "host": host,
                "bootstrap": bootstrap,
                "tolerated_losses": 1,
                "promoter_address": f"{self.host(10, 0)}:{self.promote_port}",
            }
        else:
            role = "proxy"
            settings = common | {
                "name": f"front-{host}",
                "zone": self.gateways[host],
                "listen": f"{host}:{self.front_port}",
                "ready_listen": f"{host}:{self.ready_port}",
                "stop_seconds": 6,
                "features": ["base", "drain", "config", "cost", "recover", "sql"],
                "drain_ms": 7000,
            }
        settings |= self.settings.get(role, {})
        path = self.folder / f"{host}.json"
        path.write_text(json.dumps(settings))
        words = self.commands[role]
        words = [sys.executable if words[0] == "python3" else words[0], *words[1:]]
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables |= {"ROWANRAIL_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                words, cwd=ROOT, env=variables, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, host, number):
        """Send a signal to a process of this fleet."""
        with contextlib.suppress(ProcessLookupError):
            self.processes[host].send_signal(number)

    def kill(self, host):
        self.signal(host, signal.SIGKILL)

    def kill_and_wipe(self, host):
        """Kill a control node, and take its disk away."""
        self.kill(host)
        self.processes[host].wait()
        shutil.rmtree(self.folder / f"data-{host}", ignore_errors=True)

    def add_control(self):
        """Return the address of a further control node, which is not started yet."""
        host = self.host(7, len(self.controls))
        self.controls[host] = list(self.regions)[len(self.controls) % 3]
        return host

    def stop(self):
        """End all processes that the fleet started."""
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()

    def ended(self):
        """Return the processes that ended, with their exit codes."""
        codes = {host: process.poll() for host, process in self.processes.items()}
        return {host: code for host, code in codes.items() if code is not None}

    async def _beat(self, member):
        """Send a member's heartbeats: to ``beat-addr`` until one fails there, else to any node."""
        address = ""
        await asyncio.sleep(random.random() * 0.5)
        while True:
            if member.is_cut_off or member.is_dark:
                await asyncio.sleep(0.1)
                continue
            body = json.dumps(member.heartbeat()).encode()
            hosts = random.sample(list(self.controls), len(self.controls))
            for host in [address.rpartition(":")[0], *hosts] if address else hosts:
                status, answer = await http(
                    host, self.control_port, "PUT", f"/instances/{member.instance}", body
                )
                if 200 <= status < 300:
                    named = json.loads(answer or b"{}").get("beat-addr", "")
                    address = named or (address if address.startswith(host + ":") else "")
                    self.seen_leader = (named or f"{host}:0").rpartition(":")[0]
                    break
                address = ""
            await asyncio.sleep(HEARTBEAT_SECONDS * random.uniform(0.9, 1.1))

    async def until(self, ask, seconds, what):
        """Wait until ``ask`` returns something true; raise if it takes too long."""
        deadline = time.monotonic() + seconds
        while not (found := await ask()):
            if time.monotonic() > deadline:
                raise CannotRun(f"{what} took over {seconds} s")
            await asyncio.sleep(0.05)
        return found

    async def ready(self, host):
        return (await http(host, self.ready_port, "GET", "/ready"))[0] == 200


class CannotRun(Exception):
    """The case could not be run."""


class Operator:
    """Sends orders as the pages say: the same one again, to another node, after a growing backoff."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name

    async def order(self, method, path, body=b"", what="", first="", seconds=60.0):
        """Send an order until it has a clear answer; return its status and when it came."""
        backoff = FIRST_BACKOFF_SECONDS
        deadline = time.monotonic() + seconds
        hosts = list(self.fleet.controls)
        position = hosts.index(first) if first else random.randrange(len(hosts))
        while time.monotonic() < deadline:
            host = hosts[position % len(hosts)]
            self.fleet.record.note(f"{self.name} sends {method} {path} {what} to {host}")
            status, _ = await http(host, self.fleet.control_port, method, path, body)
            self.fleet.record.note(f"{self.name} got {status or 'no answer'} from {host} for {what}")
            if status in (200, 204, 400, 409, 412, 413, 422):
                return status, time.monotonic()
            position += 1
            await asyncio.sleep(backoff)
            backoff *= BACKOFF_GROWTH
        raise CannotRun(f"{what} was not answered")

    async def put(self, document, first="", what=""):
        body = json.dumps(document).encode()
        what = what or f"v{document['version']}"
        return await self.order("PUT", "/config", body, what, first)

    async def read(self, host=""):
        """Return the newest configuration, asked of one node or of any."""
        hosts = [host] if host else list(self.fleet.controls)
        for _ in range(20):
            for asked in hosts:
                status, body = await http(asked, self.fleet.control_port, "GET", "/config")
                if status == 200:
                    return json.loads(body)
            await asyncio.sleep(0.25)
        raise CannotRun("the configuration could not be read")


class Client:
    """One session."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.number = random.getrandbits(40)

    async def start(self, database, who="u3f1", seconds=2.0):
        """Open a session; return the answer's line, empty without one."""
        try:
            async with asyncio.timeout(seconds):
                self.reader, self.writer = await asyncio.open_connection(
                    self.host, self.port, limit=4 * 1024 * 1024
                )
                self.writer.write(f"START {database} {who}\r\n".encode())
                return (await self.reader.readline()).decode("latin-1").strip()
        except (OSError, TimeoutError):
            return ""

    async def ask(self, text, seconds=5.0):
        """Return the lines of the answer; empty if it did not come or the session was cut."""
        self.number += 1
        lines = []
        try:
            async with asyncio.timeout(seconds):
                self.writer.write(f"QUERY c{self.number:x} {text}\r\n".encode("latin-1"))
                while not lines or not lines[-1].startswith("READY"):
                    line = await self.reader.readline()
                    if not line:
                        return []
                    lines.append(line.decode("latin-1").rstrip("\r\n"))
        except (OSError, TimeoutError):
            return []
        return lines

    def close(self):
        if getattr(self, "writer", None) is not None:
            self.writer.close()


async def probe(host, port, database, thing="k"):
    """Open a session, read once and return what the client saw."""
    client = Client(host, port)
    line = await client.start(database)
    if not line.startswith("READY"):
        client.close()
        return line or "no answer"
    lines = await client.ask(f"READ {thing}")
    client.close()
    return lines[0] if lines else "no answer"


def route(host, service, kind="primary", **changes):
    """Return a route of a configuration document."""
    return {
        "name": f"r-{host}",
        "host": host,
        "path-prefix": "/",
        "kind": kind,
        "timeout-ms": 1000,
        "target-latency-ms": 800,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "max-staleness-ms": 1500,
    } | changes


def configuration(version, routes, services, sync_replicas=0):
    """Return a configuration document."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 36,
                "protocol": "h1",
                "tls": False,
                "sync-replicas": sync_replicas,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
            "idle-tx-ms": 3000,
        },
    }


def main(folder, play):
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    fleets = []

    async def run():
        async with asyncio.timeout(115):
            return await play(record, has_trouble, fleets)

    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.note(f"the case could not run: {type(error).__name__} {error}")
        return 2
    finally:
        for fleet in fleets:
            fleet.stop()
            record.note(f"all processes have ended; their logs are in {fleet.folder}")
    record.note("the rule was BROKEN" if broken else "the rule held")
    return 1 if broken else 0
