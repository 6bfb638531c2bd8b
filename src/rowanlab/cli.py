"""The ``rowanlab`` command: the test laboratory."""

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
import yaml

from rowanlab.documents import write_documents
from rowanlab.fleet import faults
from rowanlab.fleet.forwarder import Direction, ForwarderSettings, run_forwarder
from rowanlab.fleet.layout import FleetOptions
from rowanlab.fleet.profiles import PROFILES
from rowanlab.fleet.runner import Fleet, free_subnet, load_fleet
from rowanlab.load.commands import LOAD_COMMANDS
from rowanlab.simulator.command import simulate_command
from rowanlab.standin.directory import DirectorySettings, run_directory
from rowanlab.standin.member import FaultRequest, MemberSettings
from rowanlab.standin.server import run_member
from rowanrail import __version__
from rowanrail.kernel.errors import RowanrailError
from rowanrail.kernel.events import LogFormat, configure_logging

DEFAULT_SUBNET = 20


class _Commands(click.Group):
    """A group that prints product errors as messages instead of tracebacks."""

    def invoke(self, context: click.Context) -> Any:
        try:
            return super().invoke(context)
        except RowanrailError as error:
            raise click.ClickException(str(error)) from error


@click.group(cls=_Commands)
@click.version_option(__version__, prog_name="rowanlab")
def main() -> None:
    """Test laboratory: stand-ins, fleet, simulator, load and reports."""


def _load_settings(path: str, kind: Any) -> Any:
    return msgspec.convert(yaml.safe_load(Path(path).read_text()), kind)


@main.command()
@click.argument("kind", type=click.Choice(["member", "forwarder", "directory"]))
@click.option("--config", "path", required=True)
@click.option("--bootstrap", is_flag=True)
def run(kind: str, path: str, bootstrap: bool) -> None:
    """Run one stand-in process (the fleet does this)."""
    configure_logging(LogFormat.LINES)
    if kind == "member":
        asyncio.run(run_member(_load_settings(path, MemberSettings), bootstrap))
    elif kind == "forwarder":
        asyncio.run(run_forwarder(_load_settings(path, ForwarderSettings)))
    else:
        asyncio.run(run_directory(_load_settings(path, DirectorySettings)))


@main.command()
@click.option("--dir", "folder", type=click.Path(path_type=Path), default=Path("docs"))
def docs(folder: Path) -> None:
    """Write the reference pages that are made from the code."""
    write_documents(folder)


main.add_command(simulate_command)
for load_command in LOAD_COMMANDS:
    main.add_command(load_command)


@main.group()
def fleet() -> None:
    """A test fleet on this machine: separate processes, stand-ins, links with delays."""


@fleet.command()
@click.option("--profile", type=click.Choice(sorted(PROFILES)), required=True)
@click.option("--dir", "folder", required=True, type=click.Path(path_type=Path))
@click.option("--groups", default=3, show_default=True)
@click.option("--subnet", default=DEFAULT_SUBNET, show_default=True, help="127.SUBNET.0.0/16")
def up(profile: str, folder: Path, groups: int, subnet: int) -> None:
    """Start a fleet and keep it running until Ctrl-C."""
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / "data").exists():
        raise click.ClickException(f"{folder} holds an earlier fleet; name an empty folder")
    options = FleetOptions(subnet=free_subnet(subnet), groups=groups)
    running = Fleet(PROFILES[profile], options, folder.resolve())
    stop = False

    def on_signal(number: int, frame: object) -> None:
        nonlocal stop
        if stop or not ready:
            raise KeyboardInterrupt
        stop = True

    ready = False
    signal.signal(signal.SIGINT, on_signal)
    signal.signal(signal.SIGTERM, on_signal)
    try:
        running.start()
        ready = True
        click.echo("fleet ready")
        sys.stdout.flush()
        while not stop:
            time.sleep(0.2)
    except KeyboardInterrupt:
        pass
    finally:
        running.stop()
        click.echo("fleet stopped")


def _folder_option(function: Any) -> Any:
    return click.option(
        "--dir", "folder", required=True, type=click.Path(path_type=Path, exists=True)
    )(function)


def _signal_command(name: str, number: signal.Signals, what: str) -> click.Command:
    """Create the command that sends a signal to a process of a fleet."""

    @click.command(name, help=f"{what} ({number.name}).")
    @click.argument("name")
    @_folder_option
    def send(name: str, folder: Path) -> None:
        faults.signal_process(load_fleet(folder), name, number)

    return send


fleet.add_command(_signal_command("kill", signal.SIGKILL, "Kill a process at once"))
fleet.add_command(_signal_command("stop", signal.SIGTERM, "Stop a process as planned"))
fleet.add_command(_signal_command("freeze", signal.SIGSTOP, "Freeze a process"))
fleet.add_command(_signal_command("thaw", signal.SIGCONT, "Thaw a frozen process"))


@fleet.command()
@click.argument("place")
@click.option("--direction", type=click.Choice([item.value for item in Direction]), default="both")
@_folder_option
def cut(place: str, direction: str, folder: Path) -> None:
    """Cut a process or a zone off from the other zones."""
    faults.cut(load_fleet(folder), place, Direction(direction), True)


@fleet.command()
@click.argument("place")
@_folder_option
def heal(place: str, folder: Path) -> None:
    """Heal a cut."""
    faults.cut(load_fleet(folder), place, Direction.BOTH, False)


@fleet.command()
@click.argument("name")
@click.option("--seconds", default=0.5, show_default=True, help="0 ends the lag.")
@_folder_option
def lag(name: str, seconds: float, folder: Path) -> None:
    """Make a member apply its log late."""
    faults.set_member_faults(load_fleet(folder), name, FaultRequest(lag_seconds=seconds))


@fleet.command()
@click.argument("name")
@click.option("--state", type=click.Choice(["live", "leaving"]), default="leaving")
@_folder_option
def leave(name: str, state: str, folder: Path) -> None:
    """List a member as leaving (or live again) in the platform's list."""
    faults.find(load_fleet(folder), name)
    faults.set_listed_state(folder, name, state)


if __name__ == "__main__":
    main()
