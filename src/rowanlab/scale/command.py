"""The ``rowanlab scale`` command."""

import click
import msgspec

from rowanlab.fleet.workers import map_over_cores
from rowanlab.scale.control_side import (
    CHANGE_UNITS,
    WATCH_UNITS,
    change_costs,
    watch_costs,
)
from rowanlab.scale.proxy_side import PROXY_UNITS, idle_costs
from rowanlab.scale.slopes import Slope, fit_all
from rowanlab.scale.watchers import watcher_slopes

GROUPS = [50, 100, 200, 400]
PROXIES = [100, 200, 400, 800]
WATCHERS = [50, 100, 200, 400]


class ScaleReport(msgspec.Struct):
    """The last line of ``rowanlab scale``."""

    slopes: list[Slope]


def measure(cores: int) -> ScaleReport:
    """Measure all slopes, each size in a process of its own."""
    proxies = list(map_over_cores(idle_costs, GROUPS, cores, fresh=True))
    watches = list(map_over_cores(watch_costs, PROXIES, cores, fresh=True))
    changes = list(map_over_cores(change_costs, GROUPS, cores, fresh=True))
    return ScaleReport(
        [
            *fit_all("proxy", "group", PROXY_UNITS, GROUPS, proxies),
            *fit_all("control", "proxy", WATCH_UNITS, PROXIES, watches),
            *fit_all("control", "group", CHANGE_UNITS, GROUPS, changes),
            *watcher_slopes(WATCHERS),
        ]
    )


@click.command("scale")
@click.option("--cores", default=2, show_default=True, help="Measurements at a time.")
def scale_command(cores: int) -> None:
    """Measure what one more group or proxy costs. The last line is JSON."""
    report = measure(cores)
    for slope in report.slopes:
        click.echo(
            f"{slope.name:24} {slope.base:14.4f} + {slope.slope:12.5f} a {slope.per:6} {slope.unit}"
        )
    click.echo(msgspec.json.encode(report).decode())
