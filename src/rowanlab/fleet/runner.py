"""Starts, monitors and stops the processes of a test fleet."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import msgspec
from returns.result import Failure

from rowanlab.fleet.layout import FleetFile, FleetOptions, Layout, Process
from rowanlab.fleet.profiles import Profile
from rowanrail.cli.client import ControlClient, ControlUnavailableError
from rowanrail.config.load import load_configuration
from rowanrail.kernel.errors import RowanrailError
from rowanrail.rpc.tcp import split_address

READY_TIMEOUT_SECONDS = 40.0
POLL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 5.0
FIRST_SUBNET = 20
LAST_SUBNET = 250
FLEET_FILE = "fleet.json"


def free_subnet(wanted: int) -> int:
    """Return a loopback subnet that no other fleet uses, ``wanted`` if possible.

    :raises RowanrailError: if all subnets are in use.
    """
    for subnet in [wanted, *range(FIRST_SUBNET, LAST_SUBNET)]:
        try:
            with socket.socket() as probe:
                probe.bind((f"127.{subnet}.1.20", 7000))
            return int(subnet)
        except OSError:
            continue
    raise RowanrailError("no free loopback subnet", step="fleet")


class Fleet:
    """The processes of a test fleet, with their settings in a folder."""

    def __init__(self, profile: Profile, options: FleetOptions, folder: Path) -> None:
        self.folder = folder
        self.file = Layout(profile, options, folder).write()
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        (folder / "logs").mkdir(exist_ok=True)

    # Processes

    def start(self) -> None:
        """Start all processes of a new system, and wait until they are ready.

        :raises RowanrailError: if a process ends or is not ready in time.
        """
        for process in self.file.processes():
            self.spawn(process, bootstrap=True)
        self.save()
        self.wait_ready()

    def spawn(self, process: Process, bootstrap: bool = False) -> None:
        """Start a process, with its output appended to its log file."""
        command = [*process.command]
        if bootstrap and process.kind in ("control", "member"):
            command.append("--bootstrap")
        module = command[0]
        log = (self.folder / "logs" / f"{process.name}.log").open("ab")
        with log:
            running = subprocess.Popen(
                [sys.executable, "-m", module, *command[1:]],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._running[process.name] = running
        process.pid = running.pid

    def save(self) -> None:
        """Write ``fleet.json`` atomically."""
        path = self.folder / FLEET_FILE
        temporary = path.with_suffix(".tmp")
        temporary.write_bytes(msgspec.json.format(msgspec.json.encode(self.file)))
        temporary.rename(path)

    def wait_ready(self) -> None:
        """Wait until all processes listen, then apply the configuration to all zones.

        :raises RowanrailError: if a process ends or the fleet is not ready in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        for process in self.file.processes():
            host, port = process.host, process.port
            while not _is_listening(host, port):
                self._check_alive(process)
                if time.monotonic() > deadline:
                    raise RowanrailError("does not serve in time", step="start", peer=process.name)
                time.sleep(POLL_SECONDS)
        version = self.apply(Path(self.file.configuration))
        self.wait_in_force(version, deadline)

    def _check_alive(self, process: Process) -> None:
        code = self._running[process.name].poll()
        if code is not None:
            log = (self.folder / "logs" / f"{process.name}.log").read_text()[-2000:]
            raise RowanrailError(f"ended with {code}:\n{log}", step="start", peer=process.name)

    def client(self) -> ControlClient:
        """Return a client for the control nodes."""
        addresses = [f"{control.host}:{control.port}" for control in self.file.controls]
        return ControlClient(addresses, self.file.token)

    def apply(self, path: Path) -> int:
        """Apply a configuration and return its version.

        :raises RowanrailError: if the configuration is invalid.
        :raises ControlUnavailableError: if no control node accepts it in time.
        """
        loaded = load_configuration(path)
        if isinstance(loaded, Failure):
            raise RowanrailError("; ".join(loaded.failure()), step="apply")
        body = {
            "change_id": f"fleet-{time.time_ns()}",
            "configuration": msgspec.to_builtins(loaded.unwrap()),
        }
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while True:
            try:
                answer = self.client().request("POST", "/v1/configuration", body)
                return int(answer.body["version"])
            except ControlUnavailableError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(POLL_SECONDS)

    def wait_in_force(self, version: int, deadline: float) -> None:
        """Wait until ``version`` is in force in every zone and every group has a primary.

        :raises RowanrailError: if that takes until after ``deadline``.
        """
        zones = set(self.file.zones())
        while True:
            status = self.client().request("GET", "/v1/status").body
            in_force = {zone for zone, known in status["zones"].items() if known >= version}
            if in_force >= zones and _groups_ready(status, len(self.file.groups)):
                return
            if time.monotonic() > deadline:
                raise RowanrailError(f"version {version} is not in force in time", step="start")
            time.sleep(POLL_SECONDS)

    def restart(self, name: str, lose_disk: bool = False) -> None:
        """Restart a process that has ended, optionally with an empty data folder.

        :raises RowanrailError: if the process still runs.
        """
        process = self._find(name)
        running = self._running[name]
        if running.poll() is None:
            raise RowanrailError("still runs", step="restart", peer=name)
        if lose_disk and process.data_dir:
            _empty_folder(Path(process.data_dir))
        self.spawn(process)
        self.save()

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        running = self._running[self._find(name).name]
        running.kill()
        running.wait()

    def is_running(self, name: str) -> bool:
        """Return whether a process runs; a frozen process does."""
        return self._running[name].poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        os.kill(self._find(name).pid, number)

    def wait_exit(self, name: str, seconds: float) -> int:
        """Wait at most ``seconds`` for a process to end, and return its exit code."""
        return self._running[name].wait(seconds)

    def _find(self, name: str) -> Process:
        process = self.file.find(name)
        if process is None:
            raise RowanrailError("no such process in the fleet", step="find", peer=name)
        return process

    def stop(self) -> None:
        """Terminate all processes, and kill those that do not end in time."""
        for process in reversed(self.file.processes()):
            running = self._running.get(process.name)
            if running is not None and running.poll() is None:
                os.kill(running.pid, signal.SIGCONT)
                running.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for running in self._running.values():
            try:
                running.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                running.kill()
                running.wait()


def _is_listening(host: str, port: int) -> bool:
    try:
        with socket.create_connection((host, port), timeout=1.0):
            return True
    except OSError:
        return False


def _groups_ready(status: dict[str, list[dict[str, list[dict[str, object]]]]], groups: int) -> bool:
    if not status["proxies"]:
        return False
    for report in status["proxies"]:
        primaries = {member["group"] for member in report["groups"] if member["role"] == "primary"}
        if len(primaries) < groups:
            return False
    return True


def _empty_folder(folder: Path) -> None:
    for path in sorted(folder.rglob("*"), reverse=True):
        if path.is_dir():
            path.rmdir()
        else:
            path.unlink()


def load_fleet(folder: Path) -> FleetFile:
    """Return the fleet that runs in ``folder``.

    :raises RowanrailError: if ``fleet.json`` is missing or invalid.
    """
    try:
        return msgspec.json.decode((folder / FLEET_FILE).read_bytes(), type=FleetFile)
    except (OSError, msgspec.MsgspecError) as error:
        raise RowanrailError(
            f"{error}; start one with `rowanlab fleet up`", step="load fleet", peer=str(folder)
        ) from error


async def call_process(address: str, request: msgspec.Struct) -> msgspec.Struct:
    """Send one request to a process of the fleet and return its reply."""
    from rowanrail.rpc.tcp import TcpNetwork

    split_address(address)
    network = TcpNetwork()
    try:
        return await network.call(address, request, 3.0)
    finally:
        await network.close()


def send_request(address: str, request: msgspec.Struct) -> msgspec.Struct:
    """Run :func:`call_process` from synchronous code."""
    return asyncio.run(call_process(address, request))
