"""Settings files of the daemons: fields, defaults and validation.

All problems of a file are returned at once. Deployed files depend on names and defaults.
"""

import enum
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from rowanrail.config.addresses import check_address
from rowanrail.config.reader import convert, read_yaml
from rowanrail.kernel.catalogue import Level, LogFormat


class Daemon(enum.Enum):
    """Daemon that a settings file belongs to."""

    PROXY = "proxy"
    CONTROL = "control"
    GATEWAY = "gateway"
    COORDINATOR = "coordinator"


class HolderSelection(enum.Enum):
    """How the gateways that hold a service's connections are selected."""

    HASHED = "hashed"
    PLANNED = "planned"


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Log settings of a daemon."""

    format: LogFormat = LogFormat.LINES
    level: Level = Level.INFO


class ProxySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``rowanrail proxy``."""

    name: str
    zone: str
    listen: str
    admin_listen: str
    rpc_listen: str
    controls: list[str]
    zone_peers: list[str] = []
    routes: dict[str, str] = {}
    directory: str = ""
    region_peers: list[str] = []
    stop_seconds: float = 20.0
    log: LogSettings = LogSettings()


class NodeAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name and address of a control node."""

    name: str
    address: str


class OperatorSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator; ``token_hash`` is the SHA-256 of the token, in hex."""

    name: str
    token_hash: str


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``rowanrail control``."""

    name: str
    zone: str
    cluster: str
    data_folder: str
    rpc_listen: str
    http_listen: str
    nodes: list[NodeAddress]
    operators: list[OperatorSpec]
    routes: dict[str, str] = {}
    heartbeat_seconds: float = 0.1
    election_timeout_seconds: float = 0.6
    snapshot_entries: int = 1000
    log: LogSettings = LogSettings()


TENANTS_FEATURE = "tenants"  # each connection to a member belongs to one tenant


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a gateway, the proxy for clients that send typed statements."""

    name: str
    zone: str
    listen: str
    ready_listen: str
    control_nodes: list[str]
    rpc_port: int
    protocol: str
    stop_seconds: float = 6.0
    regions: dict[str, str] = {}
    features: list[str] = []
    quota_window_seconds: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0
    holders: HolderSelection = HolderSelection.HASHED
    metrics: str = ""
    log_lines_per_second: int = 400
    log_level: Level = Level.INFO
    evacuation_ms: float = 5000.0
    drain_ms: float = 7000.0

    @property
    def sharing_group(self) -> str:
        """Region whose gateways share connections, empty if connections don't belong to tenants.

        Sharing lets few gateways hold a tenant's connections, so that they are reused more often.
        """
        return self.regions.get(self.zone, "") if TENANTS_FEATURE in self.features else ""


class CoordinatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a control node for gateways."""

    name: str
    zone: str
    data_folder: str
    listen: str
    host: str
    control_nodes: list[str]
    rpc_port: int
    protocol: str
    bootstrap: bool = False
    tolerated_losses: int = 1
    promoter_address: str = ""
    holders: HolderSelection = HolderSelection.HASHED
    metrics: str = ""
    log_lines_per_second: int = 400
    log_level: Level = Level.INFO
    heartbeat_seconds: float = 0.12
    election_timeout_seconds: float = 0.6
    snapshot_entries: int = 200
    regions: dict[str, str] = {}
    evacuation_ms: float = 5000.0

    @property
    def rpc_listen(self) -> str:
        """Address on which the node serves the system's other processes."""
        return f"{self.host}:{self.rpc_port}"

    @property
    def peers(self) -> list[str]:
        """RPC addresses of the control nodes in the settings."""
        return rpc_addresses(self.control_nodes, self.rpc_port)

    @property
    def voters(self) -> int:
        """Number of voting control nodes, so that a majority survives the tolerated losses."""
        return max(3, 2 * self.tolerated_losses + 1)


def rpc_addresses(control_nodes: list[str], rpc_port: int) -> list[str]:
    """Return the RPC addresses of control nodes, which differ from the others in the port only."""
    return [f"{address.rpartition(':')[0]}:{rpc_port}" for address in control_nodes]


FIELD_HELP: dict[str, str] = {
    "ProxySettings.name": "Name of the proxy, unique in the system.",
    "ProxySettings.zone": "Zone that the proxy is in.",
    "ProxySettings.listen": "`IP:port` for clients (MySQL protocol).",
    "ProxySettings.admin_listen": "`IP:port` for metrics, health and readiness (HTTP).",
    "ProxySettings.rpc_listen": "`IP:port` for the other proxies of the zone.",
    "ProxySettings.controls": "`IP:port` of the control nodes, nearest first.",
    "ProxySettings.zone_peers": "`IP:port` (their `rpc_listen`) of other proxies of the zone.",
    "ProxySettings.region_peers": "`IP:port` of proxies in other zones, used if no peer in the "
    "zone answers.",
    "ProxySettings.routes": "Address translation: a member's configured address to the address at "
    "which this proxy reaches it.",
    "ProxySettings.directory": "URL of the platform's list of live and leaving machines.",
    "ProxySettings.stop_seconds": "Maximum time that a planned stop waits for open transactions.",
    "ProxySettings.log": "Logging.",
    "GatewaySettings.name": "Name of the gateway, unique in the system.",
    "GatewaySettings.zone": "Zone that the gateway is in.",
    "GatewaySettings.listen": "`IP:port` for clients.",
    "GatewaySettings.ready_listen": "`IP:port` for readiness checks.",
    "GatewaySettings.control_nodes": "`IP:port` of control nodes, with the port for operators.",
    "GatewaySettings.rpc_port": "Port of the control nodes for RPC between the system's processes.",
    "GatewaySettings.protocol": "Name of the protocol plug-ins for clients and members.",
    "GatewaySettings.stop_seconds": "Maximum duration of a planned stop.",
    "GatewaySettings.regions": "Region of each zone; members in the same region are preferred. "
    "The regions of routes and tenants refer to these names.",
    "GatewaySettings.features": "Enabled features. `tenants`: each connection to a member belongs "
    "to a tenant, and the gateways of a region share them. Unknown features are ignored.",
    "GatewaySettings.quota_window_seconds": "Length of the window in which a tenant's operations "
    "are counted.",
    "GatewaySettings.quota_excess": "Fraction of a tenant's limit by which it may be exceeded.",
    "GatewaySettings.quota_slack": "Number of operations that are tolerated in addition.",
    "GatewaySettings.holders": "Selection of the gateways that hold a service's connections: "
    "`hashed`, or `planned` by the control nodes according to demand. Gateways set to `hashed` "
    "ignore plans, so set the same value on all gateways and control nodes.",
    "GatewaySettings.evacuation_ms": "Milliseconds after the acknowledgement of a zone's "
    "evacuation until nothing more may be sent to its members.",
    "GatewaySettings.drain_ms": "Milliseconds after the acknowledgement that a member leaves until "
    "no more statements or transactions may begin there.",
    "GatewaySettings.metrics": "`PORT/PATH` for metrics, on the IP of `listen`; empty for none.",
    "GatewaySettings.log_lines_per_second": "Rate limit of the decision log; successes may use a "
    "tenth of it.",
    "GatewaySettings.log_level": "Lowest level of the decision log: `info`, `warning`, `error`.",
    "CoordinatorSettings.log_level": "Lowest level of the decision log: `info`, `warning`, "
    "`error`.",
    "CoordinatorSettings.metrics": "`PORT/PATH` for metrics, on the IP of `host`; empty for none.",
    "CoordinatorSettings.log_lines_per_second": "Rate limit of the decision log.",
    "CoordinatorSettings.name": "Name of the control node, as reported to the platform.",
    "CoordinatorSettings.zone": "Zone that the node is in.",
    "CoordinatorSettings.data_folder": "Folder for the node's durable state.",
    "CoordinatorSettings.listen": "`IP:port` for operators and members.",
    "CoordinatorSettings.host": "IP of the node for RPC between the system's processes.",
    "CoordinatorSettings.control_nodes": "`IP:port` of control nodes, with the port for operators.",
    "CoordinatorSettings.rpc_port": "Port of all control nodes for RPC between the system's "
    "processes.",
    "CoordinatorSettings.protocol": "Name of the protocol plug-ins for operators and members.",
    "CoordinatorSettings.bootstrap": "Whether this is the first start of a new system, with empty "
    "data folders.",
    "CoordinatorSettings.tolerated_losses": "Number of control nodes that may fail at once.",
    "CoordinatorSettings.promoter_address": "`IP:port` of the platform's API for "
    "promotions; empty for none.",
    "CoordinatorSettings.holders": "Selection of the gateways that hold a service's connections: "
    "`planned` according to demand, or `hashed`, which ends a plan that is in force.",
    "CoordinatorSettings.regions": "Region of each zone; a missing zone is a region of its "
    "own. Evacuations of zones that are neither named here nor by a member are rejected; if empty, "
    "those of any zone are accepted.",
    "CoordinatorSettings.evacuation_ms": "Milliseconds after the acknowledgement of a zone's "
    "evacuation until nothing more may be sent to its members.",
    "CoordinatorSettings.heartbeat_seconds": "Interval of the leader's heartbeats.",
    "CoordinatorSettings.election_timeout_seconds": "Time without a heartbeat after which an "
    "election starts.",
    "CoordinatorSettings.snapshot_entries": "Log entries after which a snapshot is taken.",
    "LogSettings.format": "`lines` or `json`.",
    "LogSettings.level": "Lowest level that is logged: `info`, `warning` or `error`.",
    "ControlSettings.name": "Name of the control node.",
    "ControlSettings.zone": "Zone that the node is in.",
    "ControlSettings.cluster": "Name of the system; data folders of other systems are rejected.",
    "ControlSettings.data_folder": "Folder for the node's durable state.",
    "ControlSettings.rpc_listen": "`IP:port` for control nodes and proxies.",
    "ControlSettings.http_listen": "`IP:port` for operators (HTTP and JSON).",
    "ControlSettings.nodes": "Initial control nodes, including this one, with their `rpc_listen`.",
    "ControlSettings.operators": "Operators and the SHA-256 hex of their tokens.",
    "ControlSettings.routes": "Address translation between control nodes.",
    "ControlSettings.heartbeat_seconds": "Interval of the leader's heartbeats.",
    "ControlSettings.election_timeout_seconds": "Time without a heartbeat after which an election "
    "starts.",
    "ControlSettings.snapshot_entries": "Log entries after which a snapshot is taken.",
    "ControlSettings.log": "Logging.",
    "NodeAddress.name": "Name of the control node.",
    "NodeAddress.address": "Its `rpc_listen`.",
    "OperatorSpec.name": "Name of the operator, recorded as author.",
    "OperatorSpec.token_hash": "SHA-256 of the operator's token, in hex.",
}


AnySettings = ProxySettings | ControlSettings | GatewaySettings | CoordinatorSettings


def load_settings(
    path: Path, daemon: Daemon, overrides: dict[str, Any]
) -> Result[AnySettings, list[str]]:
    """Return a daemon's settings with the given overrides applied, or all problems."""
    document = read_yaml(path)
    if isinstance(document, Failure):
        return document
    content = document.unwrap()
    if isinstance(content, dict):
        content = {**content, **overrides}
    if daemon is Daemon.PROXY:
        return convert(content, ProxySettings, str(path)).bind(
            lambda settings: _checked(settings, _proxy_addresses(settings), str(path))
        )
    if daemon is Daemon.GATEWAY:
        return convert(content, GatewaySettings, str(path)).bind(
            lambda settings: _checked(settings, _gateway_addresses(settings), str(path))
        )
    if daemon is Daemon.COORDINATOR:
        return convert(content, CoordinatorSettings, str(path)).bind(
            lambda settings: _checked(settings, _coordinator_addresses(settings), str(path))
        )
    return convert(content, ControlSettings, str(path)).bind(
        lambda settings: _checked(settings, _control_addresses(settings), str(path))
    )


def _proxy_addresses(settings: ProxySettings) -> dict[str, str]:
    addresses = {
        "listen": settings.listen,
        "admin_listen": settings.admin_listen,
        "rpc_listen": settings.rpc_listen,
    }
    for name in ("controls", "zone_peers", "region_peers"):
        for position, address in enumerate(getattr(settings, name)):
            addresses[f"{name}[{position}]"] = address
    for member, address in settings.routes.items():
        addresses[f"routes.{member}"] = address
    return addresses


def _control_node_addresses(control_nodes: list[str]) -> dict[str, str]:
    return {f"control_nodes[{position}]": address for position, address in enumerate(control_nodes)}


def _gateway_addresses(settings: GatewaySettings) -> dict[str, str]:
    addresses = {"listen": settings.listen, "ready_listen": settings.ready_listen}
    return addresses | _control_node_addresses(settings.control_nodes)


def _coordinator_addresses(settings: CoordinatorSettings) -> dict[str, str]:
    addresses = {"listen": settings.listen, "host with rpc_port": settings.rpc_listen}
    if settings.promoter_address:
        addresses["promoter_address"] = settings.promoter_address
    return addresses | _control_node_addresses(settings.control_nodes)


def _control_addresses(settings: ControlSettings) -> dict[str, str]:
    addresses = {"rpc_listen": settings.rpc_listen, "http_listen": settings.http_listen}
    for position, node in enumerate(settings.nodes):
        addresses[f"nodes[{position}].address"] = node.address
    return addresses


def _checked(settings: Any, addresses: dict[str, str], source: str) -> Result[Any, list[str]]:
    problems = [
        f"{source}: {path}: {problem}"
        for path, address in addresses.items()
        if (problem := check_address(address))
    ]
    if isinstance(settings, ControlSettings):
        problems += _check_control(settings, source)
    elif isinstance(settings, ProxySettings):
        if not settings.controls:
            problems.append(f"{source}: controls: empty; name the control nodes")
    elif not settings.control_nodes:
        problems.append(f"{source}: control_nodes: empty; name the control nodes")
    return Failure(problems) if problems else Success(settings)


def _check_control(settings: ControlSettings, source: str) -> list[str]:
    problems = []
    if settings.name not in [node.name for node in settings.nodes]:
        problems.append(f"{source}: nodes: {settings.name!r} itself is missing; add it")
    if len(settings.nodes) not in (1, 3, 5):
        problems.append(f"{source}: nodes: {len(settings.nodes)} nodes; use 3 or 5")
    if not settings.operators:
        problems.append(f"{source}: operators: empty; nobody could apply a configuration")
    if settings.election_timeout_seconds < 3 * settings.heartbeat_seconds:
        problems.append(
            f"{source}: election_timeout_seconds: must be at least three heartbeats "
            f"({3 * settings.heartbeat_seconds} s)"
        )
    return problems
