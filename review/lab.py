"""Harness of the review's scripts: the project's programs as processes, and small stand-ins.

Uses the standard library only. Starts the programs with the commands of ``deploy/system.toml`` on
free loopback addresses, with the settings of a small deployment. The stand-ins for members,
clients, the operator and the platform's promote call follow the users' protocol page.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
ZONES = {"kgn-hall-a": "kingston", "mbj-hall-b": "montego", "mnd-hall-c": "mandeville"}
ZONE_NAMES = list(ZONES)
HEARTBEAT_SECONDS = 1.2
SERVICE = "db"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")
        self._file.flush()


# HTTP


async def http(
    address: str, method: str, path: str, body: bytes = b"", seconds: float = 1.0
) -> tuple[int, bytes]:
    """Send a request on a new connection; return the status, 0 without an answer, and the body."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    head, _, content = answer.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    return (int(words[1]) if len(words) > 1 else 0), content


# Members


class Group:
    """A service: its members, whose replicas receive the primary's log."""

    def __init__(self, record: Record, sync_replicas: int, lag_seconds: float = 0.008) -> None:
        self.record = record
        self.sync_replicas = sync_replicas
        self.lag_seconds = lag_seconds
        self.members: dict[str, Member] = {}
        self._unacknowledged: list[tuple[int, int, Callable[[], None]]] = []  # term, number

    @property
    def primary(self) -> "Member | None":
        return next((m for m in self.members.values() if m.is_primary and m.running), None)

    def commit(self, primary: "Member", writes: list[str], answer: Callable[[], None]) -> None:
        """Append writes to the primary's log; ``answer`` is called once it is acknowledged."""
        primary.log.extend(writes)
        self._unacknowledged.append((primary.term, len(primary.log), answer))
        self._acknowledge()
        self.replicate()

    def replicate(self) -> None:
        """Send the primary's log to the replicas that receive."""
        primary = self.primary
        if primary is None or primary.dark:
            return
        term, log = primary.term, list(primary.log)
        for member in self.members.values():
            if not member.is_primary:
                asyncio.get_running_loop().call_later(
                    self.lag_seconds, self._receive, member, primary, term, log
                )

    def _receive(self, member: "Member", primary: "Member", term: int, log: list[str]) -> None:
        if not (member.receives and primary.is_primary and primary.running and not primary.dark):
            return
        if term < member.term or primary.term != term:
            return
        if term > member.term or len(log) > len(member.log):
            member.term, member.log = term, list(log)
        self._acknowledge()

    def _acknowledge(self) -> None:
        waiting, self._unacknowledged = self._unacknowledged, []
        for term, number, answer in waiting:
            held = sum(
                not m.is_primary and m.running and m.term == term and len(m.log) >= number
                for m in self.members.values()
            )
            if held >= self.sync_replicas:
                answer()
            else:
                self._unacknowledged.append((term, number, answer))

    def promote(self, instance: str) -> None:
        """Have a member lead the next term with what it has received."""
        member = self.members[instance]
        if member.is_primary and member.running:
            self.record.note(f"platform: {instance} leads already, nothing changes")
            return
        term = 1 + max(other.term for other in self.members.values())
        for other in self.members.values():
            other.lose_lead()
            other.paused = False
        member.is_primary, member.term = True, term
        self._unacknowledged = []
        self.record.note(
            f"platform: {instance} leads term {term} with a log of {len(member.log)}: "
            f"{' '.join(member.log[-3:])}"
        )
        for other in self.members.values():
            if other is not member and other.running and len(other.log) > len(member.log):
                self.record.note(
                    f"platform: {other.instance} is rolled back from {len(other.log)} entries"
                )
                other.log = list(member.log)
        self.replicate()


class Member:
    """One member: listens on its address, and sends heartbeats to the control nodes."""

    def __init__(self, group: Group, lab: "Lab", instance: str, zone: str, address: str) -> None:
        self.group, self.lab = group, lab
        self.instance, self.zone, self.address = instance, zone, address
        self.is_primary = False
        self.running = False
        self.dark = False  # no path to or from it
        self.deaf = False  # receives no commits
        self.paused = False
        self.answer_loss = 0.0  # share of reads, writes and commits that it runs without an answer
        self.state = "ready"
        self.term = 1
        self.held_term = 0
        self.log: list[str] = []
        self.acknowledged_states: list[str] = []
        self._sequence = 0
        self._beat_address = ""
        self.connections: set[MemberConnection] = set()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        group.members[instance] = self

    @property
    def receives(self) -> bool:
        return self.running and not (self.is_primary or self.dark or self.deaf or self.paused)

    @property
    def position(self) -> str:
        return f"{self.term}.{len(self.log)}"

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: MemberConnection(self), host, int(port), reuse_address=True
        )
        self.running = True
        self.paused = False
        self._beats = asyncio.ensure_future(self._send_heartbeats())

    def stop(self) -> None:
        """End the process: connections close, heartbeats stop, the log stays."""
        self.running = False
        if self._server is not None:
            self._server.close()
        if self._beats is not None:
            self._beats.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def go_dark(self) -> None:
        """Cut all paths to and from the member; it runs on."""
        self.dark = True
        self.group.record.note(f"{self.instance} goes dark at {self.position}")

    def come_back(self) -> None:
        """End the darkness; what was sent to it meanwhile arrives, if its sender still waits."""
        self.dark = False
        role = "primary" if self.is_primary else "replica"
        self.group.record.note(f"{self.instance} is reached again, a {role} at {self.position}")
        for connection in list(self.connections):
            connection.run_queue()
        self.group.replicate()

    def lose_lead(self) -> None:
        if self.is_primary:
            self.is_primary = False
            for connection in self.connections:
                connection.lost_lead = True

    async def announce(self, state: str) -> None:
        """Tell a state at once, until a node acknowledges it."""
        self.state = state
        while not await self._heartbeat():
            await asyncio.sleep(0.1)

    async def announce_end(self) -> None:
        for address in self.lab.control_addresses:
            status, _ = await http(address, "DELETE", f"/instances/{self.instance}")
            if 200 <= status < 300:
                self.group.record.note(f"{self.instance}: its end is acknowledged by {address}")
                return

    async def _send_heartbeats(self) -> None:
        while True:
            if not self.dark:
                await self._heartbeat()
            told = self.is_primary
            for _ in range(int(HEARTBEAT_SECONDS / 0.05)):
                await asyncio.sleep(0.05)
                if self.is_primary != told:
                    break  # a change of the role is told at once

    async def heartbeat_to(self, address: str) -> tuple[int, str]:
        """Send a heartbeat to a node; return the status, and the address for later ones."""
        self._sequence += 1
        body = {
            "service": SERVICE,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "cold-ms": 0,
            "db-role": "primary" if self.is_primary else "replica",
            "call-seq": self._sequence,
        }
        path = f"/instances/{self.instance}"
        status, answer = await http(address, "PUT", path, json.dumps(body).encode())
        if not 200 <= status < 300:
            return status, ""
        if body["state"] not in self.acknowledged_states:
            self.acknowledged_states.append(body["state"])
            text = f"{self.instance}: state {body['state']} is acknowledged by {address}"
            self.group.record.note(text)
        return status, json.loads(answer or b"{}").get("beat-addr", "")

    async def _heartbeat(self) -> bool:
        addresses = [a for a in [self._beat_address, *self.lab.control_addresses] if a]
        for address in addresses:
            if self.dark or not self.running:
                return False
            status, self._beat_address = await self.heartbeat_to(address)
            if 200 <= status < 300:
                return True
            self._beat_address = ""
        return False


class MemberConnection(asyncio.Protocol):
    """The member's side of one connection."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.transport: asyncio.Transport | None = None
        self._buffer = b""
        self._queue: list[str] = []
        self._waiting = False
        self._started = False
        self._state = "I"
        self._plain = False
        self._loses_answer = False
        self.lost_lead = False
        self._writes: list[str] = []

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.member.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.member.connections.discard(self)
        self._queue.clear()

    def data_received(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        self._queue += [line.decode("latin-1") for line in lines]
        self.run_queue()

    def run_queue(self) -> None:
        """Handle the lines that have arrived."""
        while self._queue and not self._waiting:
            if self.member.dark:
                return  # nothing reaches it, and nothing leaves it
            self._handle(self._queue.pop(0))

    def _write(self, lines: list[str]) -> None:
        if self.transport is not None and not self.member.dark and self.member.running:
            self.transport.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    def _handle(self, line: str) -> None:
        words = line.split(" ")
        if not self._started:
            wrong_id = len(words) > 3 and words[3] != self.member.instance
            if words[0] != "START" or len(words) < 3 or words[1] != SERVICE or wrong_id:
                self._write([f"ERROR WRONGNODE {self.member.instance}"])
                if self.transport is not None:
                    self.transport.close()
                return
            self._started = True
            self._write([f"READY I {self.member.position}"])
            return
        if words[0] == "QUIT":
            if self.transport is not None:
                self.transport.close()
            return
        self._run(words[1], words[2:])

    def _answer(self, *lines: str) -> None:
        if self._loses_answer:
            self._loses_answer = False
            self.member.group.record.note(f"{self.member.instance}: this answer is lost")
            return
        self._write([*lines, f"READY {self._state} {self.member.position}"])

    def _refuse(self, code: str) -> None:
        if self._state == "T":
            self._state = "E"
        self._answer(f"ERROR {code} {self.member.instance}")

    def _signature(self) -> str:
        return f"DONE sig.{self.member.instance}.{uuid.uuid4().hex[:8]}"

    def _run(self, request_id: str, words: list[str]) -> None:
        member = self.member
        if words[0] == "AFTER":
            term, number = (int(part) for part in words[1].split("."))
            if (term, number) > (member.term, len(member.log)):
                self._refuse("LAGGING")
                return
            words = words[2:]
        command, arguments = words[0], words[1:]
        if command in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            self._control(command, arguments)
        elif command == "BEGIN":
            if not arguments and not member.is_primary:
                self._refuse("READONLY")
                return
            self._state, self._plain, self._writes = "T", not arguments, []
            self.lost_lead = False
            self._answer("DONE -")
        elif command == "ROLLBACK":
            self._state, self._writes = "I", []
            self._answer("DONE -")
        elif command in ("SET", "PREPARE", "CLOSE", "RESET"):
            self._answer("DONE -")
        elif self._state == "T" and self._plain and self.lost_lead:
            self._refuse("READONLY")
        elif command == "READ":
            self._note_run(request_id, words)
            self._loses_answer = random.random() < member.answer_loss
            found = [w for w in [*member.log, *self._writes] if w.startswith(f"{arguments[0]}=")]
            self._answer(
                f"ROW {found[-1].partition('=')[2] if found else 'none'}", self._signature()
            )
        elif command == "WRITE":
            self._run_write(request_id, arguments)
        elif command == "COMMIT":
            writes, self._writes, self._state = self._writes, [], "I"
            self._note_run(request_id, words)
            self._loses_answer = random.random() < member.answer_loss
            self._commit(request_id, writes)
        else:
            self._refuse("MALFORMED")

    def _note_run(self, request_id: str, words: list[str]) -> None:
        self.member.group.record.note(f"{self.member.instance} runs {request_id} {' '.join(words)}")

    def _run_write(self, request_id: str, arguments: list[str]) -> None:
        if not self.member.is_primary or (self._state == "T" and not self._plain):
            self._refuse("READONLY")
            return
        self._note_run(request_id, ["WRITE", *arguments])
        self._loses_answer = random.random() < self.member.answer_loss
        write = f"{arguments[0]}={' '.join(arguments[1:])}"
        if self._state == "T":
            self._writes.append(write)
            self._answer(self._signature())
        else:
            self._commit(request_id, [write])

    def _commit(self, request_id: str, writes: list[str]) -> None:
        if not writes:
            self._answer(self._signature())
            return
        self._waiting = True

        def answer() -> None:
            self._waiting = False
            self._answer(self._signature())
            self.run_queue()

        self.member.group.commit(self.member, writes, answer)

    def _control(self, command: str, arguments: list[str]) -> None:
        member = self.member
        if command == "PAUSE" and not member.is_primary and int(arguments[0]) > member.term:
            member.paused, member.held_term = True, int(arguments[0])
            member.group.record.note(f"{member.instance}: paused at {member.position}")
        elif command == "RESUME" and member.paused:
            member.paused, member.held_term = False, 0
            member.group.record.note(f"{member.instance}: resumed at {member.position}")
            member.group.replicate()
        elif command == "DEMOTE" and member.is_primary and int(arguments[0]) > member.term:
            member.term = int(arguments[0])
            member.lose_lead()
            member.group.record.note(f"{member.instance}: demoted at {member.position}")
        role = "primary" if member.is_primary else "replica"
        row = (
            f"ROW {role} {member.term} {member.position} {member.held_term} 0 0 "
            f"{len(member.connections)}"
        )
        self._answer(row, "DONE -")


# The platform


class Platform:
    """The promote call: checks fences, and may leave calls unanswered and carry them out late."""

    def __init__(self, group: Group, record: Record, promote_seconds: float = 0.3) -> None:
        self._group, self._record, self._promote_seconds = group, record, promote_seconds
        self.unanswered_for: Callable[[], float | None] = lambda: None  # seconds until it is done
        self.on_call: Callable[[str, int], None] = lambda instance, fence: None
        self.carried_out: list[tuple[str, int]] = []
        self._newest_fence = -1
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            headers = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            body = json.loads(await reader.readexactly(int(headers.get("content-length", "0"))))
            fence, instance = int(headers["fence-token"]), body["id"]
            self._record.note(
                f"platform: promote {instance} by {headers['duty-holder']} with fence {fence}"
            )
            late = self.unanswered_for()
            self.on_call(instance, fence)
            if late is not None:
                self._record.note(f"platform: no answer, to be carried out in {late} s")
                asyncio.get_running_loop().call_later(late, self._carry_out, instance, fence)
                await reader.read()  # until the caller gives up
                return
            status = self._carry_out(instance, fence)
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, EOFError, ValueError, KeyError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    def _carry_out(self, instance: str, fence: int) -> int:
        if fence < self._newest_fence:
            self._record.note(f"platform: fence {fence} is refused, {self._newest_fence} was seen")
            return 409
        member = self._group.members.get(instance)
        if member is None or not member.running:
            self._record.note(f"platform: {instance} is not running")
            return 409
        self._newest_fence = fence
        self._record.note(f"platform: promote {instance} with fence {fence} is carried out")

        def promote() -> None:
            self._group.promote(instance)
            self.carried_out.append((instance, fence))

        asyncio.get_running_loop().call_later(self._promote_seconds, promote)
        return 200


# Clients


class Client:
    """A client's session at a proxy; opened anew after its end."""

    def __init__(self, address: str, database: str, record: Record | None) -> None:
        self._address, self._database, self._record = address, database, record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> str:
        """Open the session; return the first line of the answer, empty without one."""
        host, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(2.0):
                self._reader, self._writer = await asyncio.open_connection(host, int(port))
                self._writer.write(f"START {self._database} reviewer\r\n".encode())
                line = (await self._reader.readline()).decode("latin-1").rstrip("\r\n")
        except (OSError, TimeoutError):
            line = ""
        if not line.startswith("READY"):
            self.close()
        return line

    async def query(self, text: str, seconds: float = 6.0) -> list[str]:
        """Run a statement; return the lines of its answer, empty if the connection breaks."""
        if self._writer is None and not (await self.open()).startswith("READY"):
            return []
        assert self._reader is not None and self._writer is not None
        request_id = uuid.uuid4().hex[:16]
        if self._record is not None:
            self._record.note(f"client sends {request_id} {text}")
        lines: list[str] = []
        try:
            async with asyncio.timeout(seconds):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
                while not lines or not lines[-1].startswith("READY"):
                    line = await self._reader.readline()
                    if not line.endswith(b"\r\n"):
                        raise EOFError
                    lines.append(line.decode("latin-1").rstrip("\r\n"))
        except (OSError, EOFError, TimeoutError) as error:
            if self._record is not None:
                self._record.note(f"client gets for {request_id} no answer ({error!r}) {lines}")
            self.close()
            return []
        if self._record is not None:
            self._record.note(f"client gets for {request_id} {' | '.join(lines)}")
        return lines

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Writers:
    """Sessions that write distinct values one after the other."""

    def __init__(self, lab: "Lab") -> None:
        self._numbers = itertools.count(1)
        self.acknowledged: list[str] = []
        self._tasks = [
            asyncio.ensure_future(self._run(lab.client(number, "orders")))
            for number in range(len(lab.proxies))
        ]

    async def _run(self, client: Client) -> None:
        while True:
            number = next(self._numbers)
            lines = await client.query(f"WRITE tag-{number} {number}")
            if any(line.startswith("DONE sig.") for line in lines):
                self.acknowledged.append(f"tag-{number}={number}")
            await asyncio.sleep(0.05)

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()


# The programs


def free_addresses(count: int) -> tuple[list[str], list[int]]:
    """Return loopback hosts, and ports that are free on all of them."""
    for _ in range(100):
        second, third = random.randint(20, 250), random.randint(1, 250)
        hosts = [f"127.{second}.{third}.{number + 1}" for number in range(count)]
        first = random.randint(15000, 30000)
        ports = list(range(first, first + 6))
        sockets = []
        try:
            for host in hosts:
                for port in ports:
                    probe = socket.socket()
                    sockets.append(probe)
                    probe.bind((host, port))
            return hosts, ports
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CouldNotRun("no free addresses")


class Lab:
    """A small deployment: control nodes, proxies, three members and the platform."""

    def __init__(
        self, record: Record, folder: Path, controls: int, proxies: int, sync_replicas: int
    ) -> None:
        self.record, self._folder = record, folder
        hosts, ports = free_addresses(controls + proxies + 6)
        self._control_port, self._rpc_port, self._client_port, self._ready_port = ports[:4]
        member_port, promote_port = ports[4:]
        self.controls = hosts[:controls]
        self.proxies = hosts[controls : controls + proxies]
        self._spare = [f"{host}:{member_port}" for host in hosts[controls + proxies :]]
        self.promote_address = f"{hosts[-1]}:{promote_port}"
        self.group = Group(record, sync_replicas)
        self.platform = Platform(self.group, record)
        self.members = [
            Member(self.group, self, f"i-{name}", zone, self._spare.pop(0))
            for name, zone in zip("abc", ZONE_NAMES, strict=True)
        ]
        self.members[0].is_primary = True
        self.sync_replicas = sync_replicas
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._lost_disks: dict[int, int] = {}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._commands = {name: role["run"].split() for name, role in deploy["roles"].items()}

    @property
    def control_addresses(self) -> list[str]:
        return [f"{host}:{self._control_port}" for host in self.controls]

    def client(self, proxy: int, database: str, recorded: bool = True) -> Client:
        address = f"{self.proxies[proxy]}:{self._client_port}"
        return Client(address, database, self.record if recorded else None)

    def start_control(self, number: int, bootstrap: bool) -> None:
        host = self.controls[number]
        settings = {
            "name": f"core-{number}",
            "zone": ZONE_NAMES[number % 3],
            "data_folder": str(self.data_folder(number)),
            "listen": f"{host}:{self._control_port}",
            "host": host,
            "control_nodes": self.control_addresses[:3],
            "rpc_port": self._rpc_port,
            "protocol": "lines",
            "bootstrap": bootstrap,
            "tolerated_losses": 1,
            "promoter_address": self.promote_address,
            "regions": ZONES,
            "metrics": "",
        }
        self._start("control", f"core-{number}", settings)

    def data_folder(self, number: int) -> Path:
        return self._folder / f"core-{number}-disk-{self._lost_disks.get(number, 0)}"

    def lose_disk(self, number: int) -> None:
        """Have a control node start with an empty folder next time."""
        self._lost_disks[number] = self._lost_disks.get(number, 0) + 1

    def start_proxy(self, number: int) -> None:
        host = self.proxies[number]
        settings = {
            "name": f"front-{number}",
            "zone": ZONE_NAMES[number % 3],
            "listen": f"{host}:{self._client_port}",
            "ready_listen": f"{host}:{self._ready_port}",
            "control_nodes": self.control_addresses[:3],
            "rpc_port": self._rpc_port,
            "protocol": "lines",
            "stop_seconds": 6,
            "regions": ZONES,
            "features": ["base", "drain", "config", "cost", "recover", "sql"],
            "drain_ms": 7000,
            "metrics": "",
        }
        self._start("proxy", f"front-{number}", settings)

    def _start(self, role: str, name: str, settings: dict[str, Any]) -> None:
        path = self._folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["ROWANRAIL_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self._commands[role], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"{name} is started")

    def log(self, name: str) -> str:
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        self.record.note(f"{name} gets {number.name}")
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def configuration(self, version: int, databases: tuple[str, ...] = ("orders",)) -> bytes:
        """Return a document with a route for each database."""
        routes = [
            {
                "name": f"r-{database}",
                "host": database,
                "path-prefix": "/",
                "kind": "primary",
                "timeout-ms": 800,
                "target-latency-ms": 600,
                "priority": 1,
                "service": SERVICE,
                "max-attempts": 2,
            }
            for database in databases
        ]
        service = {
            "name": SERVICE,
            "health-path": "/health",
            "max-conns": 36,
            "protocol": "h1",
            "tls": False,
            "sync-replicas": self.sync_replicas,
        }
        limits = {"max-body-bytes": 262144, "idle-tx-ms": 3000}
        document = {"version": version, "routes": routes, "services": [service], "limits": limits}
        return json.dumps(document).encode()

    async def put(self, document: bytes, control: int = 0) -> int:
        address = self.control_addresses[control]
        status, _ = await http(address, "PUT", "/config", document)
        version = json.loads(document)["version"]
        self.record.note(f"operator: version {version} to core-{control}: {status or 'no answer'}")
        return status

    async def get(self, control: int) -> tuple[int, Any]:
        status, body = await http(self.control_addresses[control], "GET", "/config")
        return status, json.loads(body) if status == 200 else None

    async def leader(self) -> int:
        """Return the number of the control node that leads: the one that names no other address.

        :raises CouldNotRun: if no node leads in time.
        """
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            for number, address in enumerate(self.control_addresses):
                status, other = await self.members[0].heartbeat_to(address)
                if 200 <= status < 300 and not other:
                    return number
            await asyncio.sleep(0.2)
        raise CouldNotRun("no control node leads")

    async def is_ready(self, proxy: int) -> bool:
        address = f"{self.proxies[proxy]}:{self._ready_port}"
        return (await http(address, "GET", "/ready"))[0] == 200

    async def start(self) -> None:
        """Start everything, and wait until the proxies are ready."""
        await self.platform.start(self.promote_address)
        for member in self.members:
            await member.start()
        for number in range(min(3, len(self.controls))):
            self.start_control(number, bootstrap=True)
        for number in range(len(self.proxies)):
            self.start_proxy(number)

        async def is_configured() -> bool:
            return await self.put(self.configuration(1)) == 200

        await until(is_configured, 20, "the first configuration is not acknowledged")
        for number in range(len(self.proxies)):
            await until(lambda n=number: self.is_ready(n), 20, f"front-{number} is not ready")
        client = self.client(0, "orders")

        async def writes() -> bool:
            return any(line.startswith("DONE sig") for line in await client.query("WRITE first 1"))

        await until(writes, 20, "no write is acknowledged")
        client.close()

    async def stop(self) -> None:
        for member in self.group.members.values():
            member.stop()
        self.platform.stop()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


async def until(ask: Callable[[], Awaitable[bool]], seconds: float, failure: str) -> None:
    """Wait until ``ask`` returns true.

    :raises CouldNotRun: if it does not in time.
    """
    deadline = time.monotonic() + seconds
    while not await ask():
        if time.monotonic() > deadline:
            raise CouldNotRun(failure)
        await asyncio.sleep(0.1)


Case = Callable[["Lab", bool], Awaitable[int]]


def run_case(folder: Path, case: Case, controls: int, proxies: int, sync_replicas: int) -> int:
    """Run a case in a temporary folder; return the exit code of its script."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {has_trouble}")
    if not (ROOT / "target" / "deps").is_dir():
        record.note("target/deps is missing: run the build line of deploy/system.toml")
        return COULD_NOT_RUN

    async def run() -> int:
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as temporary:
            lab = Lab(record, Path(temporary), controls, proxies, sync_replicas)
            try:
                async with asyncio.timeout(110):
                    await lab.start()
                    return await case(lab, has_trouble)
            except (CouldNotRun, TimeoutError, OSError) as error:
                record.note(f"could not run: {error!r}")
                for name in lab.processes:
                    record.note(f"log of {name}:\n{lab.log(name)[-1500:]}")
                return COULD_NOT_RUN
            finally:
                await lab.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for name in lab.processes:
                        (Path(keep) / f"{name}.log").write_text(lab.log(name))

    result = asyncio.run(run())
    record.note({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "not run"))
    return result


def main(folder: Path, case: Case, *, controls: int = 3, proxies: int = 2, sync: int = 0) -> None:
    """Run a case and exit with its code."""
    sys.exit(run_case(folder, case, controls, proxies, sync))
