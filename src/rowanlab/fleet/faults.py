"""Fault injection into a running fleet, by the names in ``fleet.json``."""

import os
import signal
from pathlib import Path

import msgspec

from rowanlab.fleet.forwarder import CutRequest, Direction
from rowanlab.fleet.layout import FleetFile, Process
from rowanlab.fleet.runner import send_request
from rowanlab.standin.member import FaultRequest
from rowanrail.kernel.errors import RowanrailError
from rowanrail.sql_proxy.directory import Machine, MachineList


def find(fleet: FleetFile, name: str) -> Process:
    """Return a process by name.

    :raises RowanrailError: if there is no such process.
    """
    process = fleet.find(name)
    if process is None:
        known = ", ".join(process.name for process in fleet.processes())
        raise RowanrailError(f"no process is named {name!r}; there are {known}", step="find")
    return process


def signal_process(fleet: FleetFile, name: str, number: signal.Signals) -> None:
    """Send a signal to a process.

    :raises RowanrailError: if the process does not exist or does not run.
    """
    try:
        os.kill(find(fleet, name).pid, number)
    except ProcessLookupError as error:
        raise RowanrailError("does not run", step="signal", peer=name) from error


def cut(fleet: FleetFile, place: str, direction: Direction, is_cut: bool) -> None:
    """Partition a process or zone from the other zones, or remove the partition."""
    if place not in fleet.zones():
        find(fleet, place)
    for forwarder in fleet.forwarders:
        send_request(forwarder.rpc, CutRequest(place, direction, is_cut))


def set_member_faults(fleet: FleetFile, name: str, request: FaultRequest) -> None:
    """Set the faults of a member."""
    send_request(find(fleet, name).rpc, request)


def set_listed_state(folder: Path, name: str, state: str) -> None:
    """Change a machine's state in the platform's list, which is served with a delay."""
    path = folder / "machines.json"
    listed = msgspec.json.decode(path.read_bytes(), type=MachineList)
    machines = [
        Machine(machine.name, machine.address, machine.zone, state)
        if machine.name == name
        else machine
        for machine in listed.machines
    ]
    temporary = path.with_suffix(".tmp")
    temporary.write_bytes(msgspec.json.encode(MachineList(machines)))
    temporary.rename(path)
