"""Reference pages generated from the code: settings and log events."""

import typing
from pathlib import Path

import msgspec

from rowanrail.cluster import events as _cluster_events
from rowanrail.config import model, settings
from rowanrail.coordination import events as _coordination_events
from rowanrail.gateway import events as _gateway_events
from rowanrail.kernel import decisions as _decision_events
from rowanrail.kernel.events import CATALOGUE
from rowanrail.sql_control import events as _control_events
from rowanrail.sql_proxy import events as _proxy_events

EVENT_MODULES = (
    _cluster_events,
    _control_events,
    _coordination_events,
    _decision_events,
    _gateway_events,
    _proxy_events,
)
_NOTE = "This page is made by `make docs`; a test holds it against the code.\n"

CONFIGURATION_TYPES: list[type[msgspec.Struct]] = [
    model.Configuration,
    model.SiteSpec,
    model.GroupSpec,
    model.MemberSpec,
    model.LimitsSpec,
    model.RuleSpec,
    model.BackendSpec,
    model.UserSpec,
]
SETTINGS_TYPES: list[type[msgspec.Struct]] = [
    settings.ProxySettings,
    settings.ControlSettings,
    settings.GatewaySettings,
    settings.CoordinatorSettings,
    settings.NodeAddress,
    settings.OperatorSpec,
    settings.LogSettings,
]


def render_events() -> str:
    """Return the page that lists all log events."""
    lines = [
        "# Log events",
        "",
        _NOTE,
        "| number | level | message | meaning |",
        "|---|---|---|---|",
    ]
    for number in sorted(CATALOGUE):
        event = CATALOGUE[number]
        lines.append(
            f"| RR{number:04d} | {event.level.value} | {event.template} | {event.meaning} |"
        )
    return "\n".join(lines) + "\n"


def render_settings() -> str:
    """Return the reference page of the configuration and the daemons' settings."""
    lines = ["# Settings reference", "", _NOTE, "## Configuration (`rowanrail apply`)", ""]
    for kind in CONFIGURATION_TYPES:
        lines += _render_type(kind, model.FIELD_HELP)
    lines += ["## Settings files of the daemons", ""]
    for kind in SETTINGS_TYPES:
        lines += _render_type(kind, settings.FIELD_HELP)
    return "\n".join(lines)


def _render_type(kind: type[msgspec.Struct], descriptions: dict[str, str]) -> list[str]:
    lines = [f"### {kind.__name__}", "", (kind.__doc__ or "").strip(), ""]
    lines += ["| key | type | default | meaning |", "|---|---|---|---|"]
    for field in msgspec.structs.fields(kind):
        help_text = descriptions[f"{kind.__name__}.{field.encode_name}"]
        lines.append(
            f"| `{field.encode_name}` | {_type_name(field.type)} | {_default(field)} "
            f"| {help_text} |"
        )
    return [*lines, ""]


def _type_name(kind: typing.Any) -> str:
    arguments = typing.get_args(kind)
    if arguments:
        inner = ", ".join(_type_name(argument) for argument in arguments)
        return f"{typing.get_origin(kind).__name__} of {inner}"
    if hasattr(kind, "__members__"):
        return "one of " + ", ".join(f"`{member.value}`" for member in kind)
    return str(kind.__name__)


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    value = field.default if field.default is not msgspec.NODEFAULT else field.default_factory()
    if isinstance(value, msgspec.Struct):
        return "see there"
    return f"`{getattr(value, 'value', value)}`"


def write_documents(folder: Path) -> None:
    """Write the reference pages into a folder."""
    (folder / "EVENTS.md").write_text(render_events())
    (folder / "SETTINGS.md").write_text(render_settings())
