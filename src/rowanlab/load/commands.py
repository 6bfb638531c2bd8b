"""The ``rowanlab`` commands that start a fleet and run a load on it."""

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from rowanlab.fleet.profiles import PROFILES
from rowanlab.load.demo import demo
from rowanlab.load.torture import torture


def _profile_option(function: Any) -> Any:
    return click.option(
        "--profile", type=click.Choice(sorted(PROFILES)), default="blue-mahoe", show_default=True
    )(function)


def _in_folder(folder: Path | None, run: Callable[[Path], Any]) -> Any:
    """Call ``run`` with the given folder, or with a temporary one."""
    with tempfile.TemporaryDirectory(prefix="rowanrail-lab-") as scratch:
        chosen = folder or Path(scratch)
        chosen.mkdir(parents=True, exist_ok=True)
        return run(chosen.resolve())


def _finish(report: Any) -> None:
    click.echo(msgspec.json.encode(report).decode())
    sys.exit(0 if report.passed else 1)


_folder_option = click.option("--dir", "folder", type=click.Path(path_type=Path), help="Folder.")


@click.command("demo")
@_folder_option
def demo_command(folder: Path | None) -> None:
    """Run a short load with a primary killed midway. Exits 0 only if nothing went wrong."""
    sys.exit(0 if _in_folder(folder, demo) else 1)


@click.command("torture")
@_profile_option
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@_folder_option
def torture_command(profile: str, seconds: float, seed: int, folder: Path | None) -> None:
    """Run a load on real processes under random faults. The last line is JSON."""
    _finish(_in_folder(folder, lambda chosen: torture(PROFILES[profile], seconds, seed, chosen)))


LOAD_COMMANDS = [
    demo_command,
    torture_command,
]
