"""Addresses and settings files of a test fleet.

Every zone has its own loopback addresses, ``127.SUBNET.ZONE.x``. Links between zones, and
from callers to proxies, go through forwarders.
"""

import hashlib
from pathlib import Path
from typing import Any

import msgspec
import yaml

from rowanlab.fleet.forwarder import ForwarderSettings, Link
from rowanlab.fleet.profiles import Profile
from rowanlab.standin.directory import DirectorySettings
from rowanlab.standin.member import MemberSettings
from rowanrail.config.settings import NodeAddress
from rowanrail.sql_proxy.core import hash_password
from rowanrail.sql_proxy.directory import Machine, MachineList

MYSQL_PORT = 3306
RPC_PORT = 7000
HTTP_PORT = 7080
ADMIN_PORT = 9090
FIRST_LINK_PORT = 20000
CALLER_USER = "pipeline"
CALLER_PASSWORD = "lab-caller"
MEMBER_PASSWORD = "lab-member"
OPERATOR_TOKEN = "lab-operator"
CALLER_ZONE = "callers"


class Process(msgspec.Struct):
    """A process of the fleet, as listed in ``fleet.json``."""

    name: str
    kind: str
    zone: str
    host: str
    port: int
    pid: int = 0
    data_dir: str = ""
    rpc: str = ""
    command: list[str] = []


class GroupView(msgspec.Struct):
    """A database group, as listed in ``fleet.json``."""

    name: str
    database: str
    members: list[Process]


class FleetFile(msgspec.Struct):
    """Contents of ``fleet.json``."""

    profile: str
    subnet: int
    proxies: list[Process]
    controls: list[Process]
    groups: list[GroupView]
    directory: Process
    forwarders: list[Process]
    user: str = CALLER_USER
    password: str = CALLER_PASSWORD
    token: str = OPERATOR_TOKEN
    configuration: str = ""

    def processes(self) -> list[Process]:
        """Return all processes in the order in which they are started."""
        members = [member for group in self.groups for member in group.members]
        return [*self.forwarders, self.directory, *members, *self.controls, *self.proxies]

    def find(self, name: str) -> Process | None:
        """Return the process with this name, or None."""
        return next((process for process in self.processes() if process.name == name), None)

    def zones(self) -> list[str]:
        """Return the names of the zones."""
        return sorted({process.zone for process in self.proxies})


class FleetOptions(msgspec.Struct, frozen=True):
    """Options of a fleet that are not part of its profile."""

    subnet: int
    groups: int = 3


class _LinkAllocator:
    """Allocates the links of each zone's forwarder."""

    def __init__(self, profile: Profile, options: FleetOptions) -> None:
        self._profile = profile
        self._options = options
        self._next_port: dict[str, int] = {}
        self.by_zone: dict[str, list[Link]] = {}

    def route(self, source: str, source_zone: str, target: Process, address: str) -> str:
        """Return the address at which ``source`` reaches ``address``, which ``target`` serves."""
        if source_zone == target.zone:
            return address
        delay = self._profile.zone_delay_seconds
        host = f"127.{self._options.subnet}.{self._zone_number(source_zone)}.100"
        if source_zone == CALLER_ZONE:
            delay = self._profile.caller_delay_seconds
        port = self._next_port.get(source_zone, FIRST_LINK_PORT)
        self._next_port[source_zone] = port + 1
        listen = f"{host}:{port}"
        link = Link(
            source=source,
            target=target.name,
            source_zone=source_zone,
            target_zone=target.zone,
            listen=listen,
            address=address,
            delay_seconds=delay,
        )
        self.by_zone.setdefault(source_zone, []).append(link)
        return listen

    def _zone_number(self, zone: str) -> int:
        return zone_number(self._profile, zone)


def zone_number(profile: Profile, zone: str) -> int:
    """Return the third number of a zone's loopback addresses."""
    return 200 if zone == CALLER_ZONE else profile.zones.index(zone) + 1


class Layout:
    """Assigns addresses to all processes and writes their settings files."""

    def __init__(self, profile: Profile, options: FleetOptions, folder: Path) -> None:
        self._profile = profile
        self._options = options
        self._folder = folder
        self._links = _LinkAllocator(profile, options)

    def write(self) -> FleetFile:
        """Write all settings and return the contents of ``fleet.json``."""
        (self._folder / "settings").mkdir(parents=True, exist_ok=True)
        controls = self._controls()
        groups = self._groups()
        proxies = self._proxies()
        directory = self._directory()
        self._write_controls(controls, proxies)
        for group in groups:
            self._write_group(group)
        self._write_proxies(proxies, controls, groups, directory)
        self._write_directory(directory, groups)
        configuration = self._write_configuration(groups)
        for proxy in proxies:
            listen = self._links.route("callers", CALLER_ZONE, proxy, f"{proxy.host}:{proxy.port}")
            host, _, port = listen.rpartition(":")
            proxy.host, proxy.port = host, int(port)
        return FleetFile(
            profile=self._profile.name,
            subnet=self._options.subnet,
            proxies=proxies,
            controls=controls,
            groups=groups,
            directory=directory,
            forwarders=self._write_forwarders(),
            configuration=str(configuration),
        )

    # Processes

    def _host(self, zone: str, last: int) -> str:
        return f"127.{self._options.subnet}.{zone_number(self._profile, zone)}.{last}"

    def _controls(self) -> list[Process]:
        return [
            Process(
                name=f"control-{zone}",
                kind="control",
                zone=zone,
                host=self._host(zone, 20),
                port=HTTP_PORT,
                data_dir=str(self._folder / "data" / f"control-{zone}"),
                rpc=f"{self._host(zone, 20)}:{RPC_PORT}",
            )
            for zone in self._profile.zones
        ]

    def _proxies(self) -> list[Process]:
        return [
            Process(
                name=f"proxy-{zone}",
                kind="proxy",
                zone=zone,
                host=self._host(zone, 10),
                port=MYSQL_PORT,
                rpc=f"{self._host(zone, 10)}:{RPC_PORT}",
            )
            for zone in self._profile.zones
        ]

    def _groups(self) -> list[GroupView]:
        groups = []
        for number, name in enumerate(self._profile.groups[: self._options.groups]):
            members = [
                Process(
                    name=f"{name}-{position + 1}",
                    kind="member",
                    zone=zone,
                    host=self._host(zone, 30 + number),
                    port=MYSQL_PORT,
                    data_dir=str(self._folder / "data" / f"{name}-{position + 1}"),
                    rpc=f"{self._host(zone, 30 + number)}:{RPC_PORT}",
                )
                for position, zone in enumerate(self._profile.zones)
            ]
            groups.append(GroupView(name, name.replace("-", "_"), members))
        return groups

    def _directory(self) -> Process:
        zone = self._profile.zones[0]
        return Process("directory", "directory", zone, self._host(zone, 5), 8080)

    # Settings

    def _save(self, process: Process, settings: Any) -> None:
        path = self._folder / "settings" / f"{process.name}.yaml"
        path.write_text(yaml.safe_dump(msgspec.to_builtins(settings), sort_keys=False))
        if process.kind in ("proxy", "control"):
            process.command = ["rowanrail", process.kind, "--config", str(path)]
        else:
            process.command = ["rowanlab", "run", process.kind, "--config", str(path)]

    def _write_controls(self, controls: list[Process], proxies: list[Process]) -> None:
        token_hash = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        for control in controls:
            routes = {
                other.rpc: self._links.route(control.name, control.zone, other, other.rpc)
                for other in controls
                if other.zone != control.zone
            }
            settings = {
                "name": control.name,
                "zone": control.zone,
                "cluster": f"lab-{self._profile.name}",
                "data_folder": control.data_dir,
                "rpc_listen": control.rpc,
                "http_listen": f"{control.host}:{control.port}",
                "nodes": [{"name": other.name, "address": other.rpc} for other in controls],
                "operators": [{"name": "lab", "token_hash": token_hash}],
                "routes": routes,
            }
            self._save(control, settings)

    def _write_group(self, group: GroupView) -> None:
        for member in group.members:
            routes = {
                other.rpc: self._links.route(member.name, member.zone, other, other.rpc)
                for other in group.members
                if other.zone != member.zone
            }
            settings = MemberSettings(
                group=group.name,
                name=member.name,
                zone=member.zone,
                listen=f"{member.host}:{member.port}",
                rpc_listen=member.rpc,
                data_folder=member.data_dir,
                nodes=[NodeAddress(other.name, other.rpc) for other in group.members],
                password=MEMBER_PASSWORD,
                routes=routes,
                slots=self._profile.slots,
                connections=self._profile.connections,
                connect_seconds=self._profile.connect_seconds,
            )
            self._save(member, settings)

    def _write_proxies(
        self,
        proxies: list[Process],
        controls: list[Process],
        groups: list[GroupView],
        directory: Process,
    ) -> None:
        for proxy in proxies:
            near_first = sorted(controls, key=lambda control: control.zone != proxy.zone)
            routes = {}
            for target in [*controls, *[other for other in proxies if other is not proxy]]:
                routes[target.rpc] = self._links.route(proxy.name, proxy.zone, target, target.rpc)
            for group in groups:
                for member in group.members:
                    address = f"{member.host}:{member.port}"
                    routes[address] = self._links.route(proxy.name, proxy.zone, member, address)
            settings = {
                "name": proxy.name,
                "zone": proxy.zone,
                "listen": f"{proxy.host}:{proxy.port}",
                "admin_listen": f"{proxy.host}:{ADMIN_PORT}",
                "rpc_listen": proxy.rpc,
                "controls": [control.rpc for control in near_first],
                "region_peers": [other.rpc for other in proxies if other is not proxy],
                "routes": {key: value for key, value in routes.items() if key != value},
                "directory": f"http://{directory.host}:{directory.port}/machines",
            }
            self._save(proxy, settings)

    def _write_directory(self, directory: Process, groups: list[GroupView]) -> None:
        file = self._folder / "machines.json"
        machines = [
            Machine(member.name, f"{member.host}:{member.port}", member.zone, "live")
            for group in groups
            for member in group.members
        ]
        file.write_bytes(msgspec.json.encode(MachineList(machines)))
        listen = f"{directory.host}:{directory.port}"
        self._save(directory, DirectorySettings(listen, str(file)))

    def _write_configuration(self, groups: list[GroupView]) -> Path:
        profile = self._profile
        content = {
            "sites": [{"name": profile.region, "region": profile.region, "zones": profile.zones}],
            "groups": [
                {
                    "name": group.name,
                    "databases": [group.database],
                    "consistency": "session",
                    "members": [
                        {
                            "name": member.name,
                            "zone": member.zone,
                            "address": f"{member.host}:{member.port}",
                        }
                        for member in group.members
                    ],
                    "limits": {
                        "connections_per_member": profile.connections,
                        "slots_per_member": profile.slots,
                    },
                    "backend": {"user": "rowanrail", "password": MEMBER_PASSWORD},
                }
                for group in groups
            ],
            "users": [{"name": CALLER_USER, "password_hash": hash_password(CALLER_PASSWORD)}],
        }
        path = self._folder / "configuration.yaml"
        path.write_text(yaml.safe_dump(content, sort_keys=False))
        return path

    def _write_forwarders(self) -> list[Process]:
        forwarders = []
        for zone, links in sorted(self._links.by_zone.items()):
            host = f"127.{self._options.subnet}.{zone_number(self._profile, zone)}.100"
            process = Process(
                f"forwarder-{zone}", "forwarder", zone, host, RPC_PORT, rpc=f"{host}:{RPC_PORT}"
            )
            self._save(process, ForwarderSettings(process.rpc, links))
            forwarders.append(process)
        return forwarders
