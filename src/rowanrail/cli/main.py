"""The ``rowanrail`` command, which starts daemons, checks files and hashes secrets.

The other modules of this package define the commands for operators.
"""

import asyncio
import hashlib
import sys
from pathlib import Path
from typing import Any

import click
from returns.result import Failure

from rowanrail import __version__
from rowanrail.cli.backup import backup, restore
from rowanrail.cli.explain import explain
from rowanrail.cli.inspect import inspect
from rowanrail.cli.operator import COMMANDS, read_password
from rowanrail.cli.output import ExitCode, fail
from rowanrail.config.load import load_configuration
from rowanrail.config.reader import read_yaml
from rowanrail.config.settings import ControlSettings, Daemon, ProxySettings, load_settings
from rowanrail.kernel.errors import RowanrailError
from rowanrail.kernel.events import configure_logging


@click.group()
@click.version_option(__version__, prog_name="rowanrail")
def main() -> None:
    """A database proxy with session consistency.

    Daemons: proxy, control. Operators: apply, diff, get, history, status, drain and others.
    Shell completion: eval "$(_ROWANRAIL_COMPLETE=bash_source rowanrail)".
    """


def _load_settings(path: str, daemon: Daemon, overrides: dict[str, Any]) -> Any:
    present = {name: value for name, value in overrides.items() if value is not None}
    loaded = load_settings(Path(path), daemon, present)
    if isinstance(loaded, Failure):
        fail(loaded.failure(), ExitCode.USAGE)
    return loaded.unwrap()


def _run_daemon(daemon: Any) -> None:
    try:
        asyncio.run(daemon)
    except RowanrailError as error:
        fail([str(error)])


@main.command()
@click.option("--config", "path", required=True, help="Settings file.")
@click.option("--name", help="Overrides `name`.")
@click.option("--zone", help="Overrides `zone`.")
@click.option("--listen", help="Overrides `listen`.")
@click.option("--admin-listen", help="Overrides `admin_listen`.")
def proxy(path: str, **overrides: Any) -> None:
    """Run a proxy until SIGTERM, which stops it gracefully."""
    from rowanrail.mysql import backend as _backend_plugin  # noqa: F401
    from rowanrail.mysql import frontend as _frontend_plugin  # noqa: F401
    from rowanrail.sql_proxy.daemon import run_proxy

    settings: ProxySettings = _load_settings(path, Daemon.PROXY, overrides)
    configure_logging(settings.log.format, settings.log.level)
    _run_daemon(run_proxy(settings))


@main.command()
@click.option("--config", "path", required=True, help="Settings file.")
@click.option(
    "--bootstrap", is_flag=True, help="Create a new system; only for its first start, never again."
)
@click.option("--name", help="Overrides `name`.")
@click.option("--zone", help="Overrides `zone`.")
@click.option("--data-folder", help="Overrides `data_folder`.")
@click.option("--http-listen", help="Overrides `http_listen`.")
def control(path: str, bootstrap: bool, **overrides: Any) -> None:
    """Run a control node until SIGTERM."""
    from rowanrail.sql_control.daemon import run_control

    settings: ControlSettings = _load_settings(path, Daemon.CONTROL, overrides)
    configure_logging(settings.log.format, settings.log.level)
    _run_daemon(run_control(settings, bootstrap))


@main.command()
@click.argument("path", metavar="FILE")
def check(path: str) -> None:
    """Check a settings file of a daemon, or a configuration file or folder."""
    file = Path(path)
    document = read_yaml(file).value_or(None) if file.is_file() else None
    keys = set(document) if isinstance(document, dict) else set()
    problems: list[str] = []
    if keys & {"data_folder", "cluster", "http_listen"}:
        result: Any = load_settings(file, Daemon.CONTROL, {})
        kind = "control settings"
    elif keys & {"listen", "controls", "admin_listen"}:
        result = load_settings(file, Daemon.PROXY, {})
        kind = "proxy settings"
    else:
        result = load_configuration(file)
        kind = "configuration"
    if isinstance(result, Failure):
        problems = result.failure()
        fail([*problems, f"{len(problems)} problems"], ExitCode.FAILED)
    click.echo(f"{path}: valid {kind}")


@main.command("hash-password")
def hash_password_command() -> None:
    """Print the hash of a password for a user's `password_hash`."""
    from rowanrail.sql_proxy.core import hash_password

    click.echo(hash_password(read_password()))


@main.command("hash-token")
def hash_token_command() -> None:
    """Print the hash of an operator's token for `operators`."""
    click.echo(hashlib.sha256(read_password().encode()).hexdigest())


for command in COMMANDS:
    main.add_command(command)
for offline_command in (inspect, backup, restore, explain):
    main.add_command(offline_command)

if __name__ == "__main__":
    sys.exit(main())
