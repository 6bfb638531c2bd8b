"""Stand-ins for the platform: members that speak the line protocol, and its promote call.

The members implement the published protocol, with log, terms, roles, positions, ``AFTER``,
session values, prepared names and transactions, but without slots. Replicas receive each commit
after a delay.
"""

import asyncio
from typing import Any

from aiohttp import web

PROMOTE_SECONDS = 0.2
UNANSWERED_SECONDS = 3600.0  # for which an order has no answer; callers give up before


class Group:
    """A service, whose members replicate the log of its primary."""

    def __init__(self, name: str, lag_seconds: float = 0.005) -> None:
        self.name = name
        self.lag_seconds = lag_seconds
        self.members: dict[str, Member] = {}
        self.term = 1
        self.promotions: list[tuple[str, int, str]] = []

    def lag(self) -> float:
        """Return after how many seconds the replicas receive the next commit."""
        return self.lag_seconds

    @property
    def primary(self) -> "Member":
        return next(member for member in self.members.values() if member.is_primary)

    @property
    def newest_log(self) -> list[tuple[int, list[tuple[str, str]]]]:
        """The log of the primary; after its demotion the longest log of a member."""
        members = self.members.values()
        return max(members, key=lambda member: (member.is_primary, len(member.log))).log

    def commit(self, writes: list[tuple[str, str]]) -> None:
        primary = self.primary
        primary.append_entries([(self.term, writes)])
        log, lag = list(primary.log), self.lag()
        for member in self.members.values():
            if not member.is_primary and not member.replication_paused:
                asyncio.get_running_loop().call_later(lag, member.receive, log, self.term)

    def on_statement(self, tenant: str, key: str) -> None:
        """Handle that a member ran a read or write; does nothing by default."""

    def on_operation(self, tenant: str) -> None:
        """Handle that a statement or transaction of a tenant began; does nothing by default."""

    def promote(self, instance: str) -> None:
        member = self.members[instance]
        if member.is_primary:
            return
        self.term = 1 + max(self.term, *(other.term for other in self.members.values()))
        for other in self.members.values():
            other.is_primary = False
            other.term = self.term
        member.is_primary = True
        for other in self.members.values():
            del other.log[len(member.log) :]
            other.end_transactions()


class Member:
    """One member, which listens on its own address."""

    zone = "a"
    connection_type: "type[MemberConnection]"

    def __init__(self, group: Group, instance: str, host: str, port: int, is_primary: bool) -> None:
        self.group, self.instance, self.host, self.port = group, instance, host, port
        self.is_primary = is_primary
        self.term = 1  # the newest that it knows
        self.replication_paused = False
        self.slots = 5
        self.log: list[tuple[int, list[tuple[str, str]]]] = []
        self.sequence = 0
        self.born: int | None = None  # Unix milliseconds, if it reports them
        self.executed: list[str] = []
        self.connections: set[MemberConnection] = set()
        self._server: asyncio.Server | None = None
        group.members[instance] = self

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def position(self) -> tuple[int, int]:
        return (self.log[-1][0] if self.log else 1, len(self.log))

    def data(self) -> dict[str, str]:
        return {key: value for _, writes in self.log for key, value in writes}

    def append_entries(self, entries: list[Any]) -> None:
        self.log.extend(entries)

    def receive(self, log: list[Any], term: int) -> None:
        """Receive the log of the primary of a term, as it was at a commit."""
        if self.replication_paused or self.is_primary or term != self.group.term:
            return
        if term > self.position[0] or len(log) > len(self.log):
            self.log = list(log)

    def demote(self, term: int) -> None:
        """Become a replica, unless the member knows the term or a newer one."""
        if term > self.term:
            self.term = term
            self.is_primary = False
            self.end_transactions()

    def end_transactions(self) -> None:
        for connection in self.connections:
            connection.demoted = True

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self.connection_type(self), self.host, self.port
        )

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def start_again(self, born: int) -> None:
        """Start with an empty log and the first sequence, after :meth:`stop`."""
        self.log.clear()
        self.executed.clear()
        self.is_primary = False
        self.born, self.sequence = born, 0
        await self.start()

    def heartbeat(self, state: str = "ready") -> dict[str, Any]:
        self.sequence += 1
        start = {} if self.born is None else {"born": self.born}
        return start | {
            "service": self.group.name,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold-ms": 0,
            "db-role": "primary" if self.is_primary else "replica",
            "call-seq": self.sequence,
        }


class MemberConnection(asyncio.Protocol):
    """The member's side of one connection."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.buffer = b""
        self.started = False
        self.tenant = ""
        self.state = "I"
        self.read_write = False
        self.demoted = False
        self.writes: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.member.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.member.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self.handle_line(line.decode())

    def handle_line(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if not self.started:
            service, self.tenant, expected = rest.split(" ")
            if (
                word != "START"
                or service != self.member.group.name
                or (expected != self.member.instance)
            ):
                self.transport.write(f"ERROR WRONGNODE {self.member.instance}\r\n".encode())
                self.transport.close()
                return
            self.started = True
            self.ready([])
            return
        _, text = rest.split(" ", 1)
        self.ready(self.run(text))

    def ready(self, lines: list[str]) -> None:
        term, number = self.member.position
        lines = [*lines, f"READY {self.state} {term}.{number}"]
        self.transport.write("".join(f"{line}\r\n" for line in lines).encode())

    def fail(self, code: str) -> list[str]:
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.member.instance}"]

    def run(self, text: str) -> list[str]:
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = (int(part) for part in words[1].split("."))
            held = self.member.log[number - 1][0] if 0 < number <= len(self.member.log) else None
            if number and held != term:
                return self.fail("LAGGING")
            words = words[2:]
        handler = getattr(self, f"run_{words[0].lower()}", None)
        return self.fail("MALFORMED") if handler is None else handler(words[1:])

    def done(self, signature: str = "-") -> list[str]:
        return [f"DONE {signature}"]

    def run_begin(self, words: list[str]) -> list[str]:
        if not words and not self.member.is_primary:
            return self.fail("READONLY")
        self.state, self.read_write, self.writes, self.demoted = "T", not words, [], False
        return self.done()

    def run_rollback(self, words: list[str]) -> list[str]:
        self.state, self.writes = "I", []
        return self.done()

    def run_commit(self, words: list[str]) -> list[str]:
        if self.state != "T" or (self.demoted and self.writes):
            self.state, self.writes = "I", []
            return self.fail("READONLY")
        self.state = "I"
        writes, self.writes = self.writes, []
        if writes:
            self.member.group.commit(writes)
        return self.done("sig.commit")

    def run_read(self, words: list[str]) -> list[str]:
        if self.state == "T" and self.read_write and self.demoted:
            return self.fail("READONLY")
        self.member.executed.append(f"READ {words[0]}")
        self.member.group.on_statement(self.tenant, words[0])
        value = {**self.member.data(), **dict(self.writes)}.get(words[0], "none")
        return [f"ROW {value}", *self.done("sig.read")]

    def run_write(self, words: list[str]) -> list[str]:
        if (
            not self.member.is_primary
            or self.state == "T"
            and (self.demoted or not self.read_write)
        ):
            return self.fail("READONLY")
        self.member.executed.append(f"WRITE {words[0]}")
        self.member.group.on_statement(self.tenant, words[0])
        write = (words[0], words[1] if len(words) > 1 else "")
        if self.state == "T":
            self.writes.append(write)
        else:
            self.member.group.commit([write])
        return self.done("sig.write")

    def run_set(self, words: list[str]) -> list[str]:
        self.values[words[0]] = " ".join(words[1:])
        return self.done()

    def run_prepare(self, words: list[str]) -> list[str]:
        self.prepared[words[0]] = (words[1], words[2])
        return self.done()

    def run_execute(self, words: list[str]) -> list[str]:
        if words[0] not in self.prepared:
            return self.fail("UNKNOWN")
        is_write = self.prepared[words[0]][0] == "WRITE"
        return self.run_write(words[1:]) if is_write else self.run_read(words[1:])

    def run_reset(self, words: list[str]) -> list[str]:
        self.values, self.prepared = {}, {}
        return self.done()

    def run_status(self, words: list[str]) -> list[str]:
        member = self.member
        role = "primary" if member.is_primary else "replica"
        term, number = member.position
        row = f"ROW {role} {member.term} {term}.{number} 0 5 0 {len(member.connections)}"
        return [row, *self.done()]

    def run_demote(self, words: list[str]) -> list[str]:
        self.member.demote(int(words[0]))
        return self.run_status([])


Member.connection_type = MemberConnection


class Platform:
    """The platform's promote call over HTTP, which refuses outdated fencing tokens.

    ``late`` has the seconds after which each of the next orders is carried out without an answer.
    """

    def __init__(self, groups: list[Group]) -> None:
        self.promote_seconds = PROMOTE_SECONDS
        self.groups = {group.name: group for group in groups}
        self.calls: list[tuple[str, int, str, int]] = []
        self.late: list[float] = []
        self._newest: dict[str, int] = {}

    async def start(self, host: str, port: int) -> None:
        application = web.Application()
        application.router.add_post("/promote", self._promote)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.late:
            loop = asyncio.get_running_loop()
            loop.call_later(self.late.pop(0), self._carry_out, request, body)
            await asyncio.sleep(UNANSWERED_SECONDS)
        return web.Response(status=self._carry_out(request, body))

    def _carry_out(self, request: web.Request, body: Any) -> int:
        token = int(request.headers["Fence-Token"])
        status = 409 if token < self._newest.get(body["service"], 0) else 200
        self.calls.append((request.headers["Duty-Holder"], token, body["id"], status))
        if status == 200:
            self._newest[body["service"]] = token
            group = self.groups[body["service"]]
            asyncio.get_running_loop().call_later(self.promote_seconds, group.promote, body["id"])
        return status
