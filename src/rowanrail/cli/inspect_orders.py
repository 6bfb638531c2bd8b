"""``rowanrail inspect orders``: promotion orders without a known outcome, and paused replicas."""

import click
import msgspec

from rowanrail.cli.inspect_load import read_source
from rowanrail.cli.load_view import Sample, read_samples
from rowanrail.cli.output import ExitCode, OutputFormat, fail, format_table, show

__all__ = ["inspect_orders"]

METRIC_PREFIX = "rowanrail_control_"


class OrdersView(msgspec.Struct):
    """What one control node reports; ages in seconds, 0 without any. Only the leader has them."""

    source: str
    leads: bool
    oldest_order: float
    oldest_pause: float


class OrdersReport(msgspec.Struct):
    """The control nodes that were read, and those that could not be, with the reason."""

    nodes: list[OrdersView]
    silent: list[str]


@click.command("orders")
@click.argument("sources", nargs=-1, required=True, metavar="SOURCE...")
@click.option("--output", type=click.Choice([item.value for item in OutputFormat]), default="table")
def inspect_orders(sources: tuple[str, ...], output: str) -> None:
    """Show the oldest promotion order without a known outcome, and the oldest pause of a replica.

    SOURCE: `IP:PORT/PATH` of a control node's metrics (setting `metrics`), or a file that contains
    them.
    """
    report = OrdersReport([], [])
    for source in sources:
        try:
            report.nodes.append(_view(source, read_samples(read_source(source))))
        except (OSError, ValueError) as error:
            report.silent.append(f"{source}: {error}")
    if not report.nodes:
        fail(report.silent, ExitCode.UNAVAILABLE)
    show(OutputFormat(output), report, _table(report))


def _view(source: str, samples: list[Sample]) -> OrdersView:
    values = {sample.name.removeprefix(METRIC_PREFIX): sample.value for sample in samples}
    try:
        return OrdersView(
            source,
            bool(values["leader"]),
            values["oldest_order_seconds"],
            values["oldest_pause_seconds"],
        )
    except KeyError as error:
        raise ValueError(f"the metric {METRIC_PREFIX}{error.args[0]} is missing") from error


def _table(report: OrdersReport) -> str:
    rows = [
        (view.source, view.leads, f"{view.oldest_order:.1f}", f"{view.oldest_pause:.1f}")
        for view in report.nodes
    ]
    table = format_table(("SOURCE", "LEADS", "OLDEST ORDER S", "OLDEST PAUSE S"), rows)
    return "\n\n".join([table, *(f"silent: {source}" for source in report.silent)])
