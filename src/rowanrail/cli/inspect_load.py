"""``rowanrail inspect load``: services, members, tenants and refusals of all gateways.

Reads the sources and formats the tables; :mod:`rowanrail.cli.load_view` aggregates.
"""

import urllib.error
import urllib.request
from pathlib import Path

import click

from rowanrail.cli.load_view import (
    FleetLoad,
    MemberLoad,
    RefusalCount,
    RejectionCount,
    Sample,
    ServiceLoadView,
    TenantLoad,
    read_samples,
    summarize,
)
from rowanrail.cli.output import ExitCode, OutputFormat, fail, format_table, show

READ_TIMEOUT_SECONDS = 0.5  # keeps unreachable gateways from delaying the others
MEMBER_COLUMNS = (
    "SERVICE",
    "MEMBER",
    "HOLDERS",
    "CONNECTIONS",
    "UNDER-WAY",
    "LIMIT",
    "WAITING",
    "LONGEST-S",
    "WEIGHT",
)


@click.command("load")
@click.argument("sources", nargs=-1, required=True, metavar="SOURCE...")
@click.option("--output", type=click.Choice([item.value for item in OutputFormat]), default="table")
def inspect_load(sources: tuple[str, ...], output: str) -> None:
    """Show the load of the fleet from the metrics of its gateways.

    SOURCE: `IP:PORT/PATH` of a gateway's metrics (setting `metrics`), or a file that contains them.
    """
    gateways: list[list[Sample]] = []
    unreachable: list[str] = []
    for source in sources:
        try:
            gateways.append(read_samples(read_source(source)))
        except (OSError, ValueError) as error:
            unreachable.append(f"{source}: {error}")
    if not gateways:
        fail(unreachable, ExitCode.UNAVAILABLE)
    fleet = summarize(gateways)
    fleet.silent = unreachable
    show(OutputFormat(output), fleet, _tables(fleet))


def read_source(source: str) -> str:
    """Return the metrics in a file, or at ``IP:PORT/PATH``.

    Raises
    ------
    OSError
        If they can't be read.
    """
    path = Path(source)
    if path.exists():
        return path.read_text()
    try:
        with urllib.request.urlopen(f"http://{source}", timeout=READ_TIMEOUT_SECONDS) as answer:
            content: bytes = answer.read()
    except urllib.error.URLError as error:
        raise OSError(f"can't be read ({error.reason}); name a file or IP:PORT/PATH") from error
    return content.decode()


def _tables(fleet: FleetLoad) -> str:
    parts = [f"{fleet.gateways} gateways; limits rest on {fleet.heard_share:.0%} of the fleet"]
    parts += [f"silent: {source}" for source in fleet.silent]
    parts += [_service_table(fleet.services), _member_table(fleet.members)]
    if fleet.tenants:
        parts.append(_tenant_table(fleet.tenants))
    if fleet.refusals:
        parts.append(_refusal_table(fleet.refusals))
    if fleet.turned_away:
        parts.append(_rejection_table(fleet.turned_away))
    return "\n\n".join(parts)


def _service_table(services: list[ServiceLoadView]) -> str:
    rows = [(s.service, s.gateways, s.failing_at, f"{s.oldest_sample:.2f}") for s in services]
    return format_table(("SERVICE", "GATEWAYS", "PRIMARY FAILS AT", "OLDEST SAMPLE S"), rows)


def _member_table(members: list[MemberLoad]) -> str:
    rows = [
        (
            m.service,
            m.member,
            m.holders,
            m.connections,
            m.under_way,
            m.limit,
            m.waiting,
            f"{m.longest_wait:.2f}",
            f"{m.weight:.2f}",
        )
        for m in members
    ]
    return format_table(MEMBER_COLUMNS, rows)


def _tenant_table(tenants: list[TenantLoad]) -> str:
    rows = [
        (t.tenant, round(t.limit), round(t.begun), round(t.asked), round(t.refused))
        for t in tenants
    ]
    return format_table(("TENANT", "LIMIT", "BEGUN", "ASKED", "REFUSED"), rows)


def _refusal_table(refusals: list[RefusalCount]) -> str:
    rows = [(r.kind, r.outcome, r.stage, r.count) for r in refusals]
    return format_table(("REFUSED", "OUTCOME", "STAGE", "COUNT"), rows)


def _rejection_table(rejections: list[RejectionCount]) -> str:
    rows = [(r.cause, r.urgency, r.count) for r in rejections]
    return format_table(("TURNED AWAY", "URGENCY", "COUNT"), rows)
