"""Output and exit codes of the commands.

Results are printed as tables, JSON or YAML, errors without tracebacks. Scripts depend on the exit
codes.
"""

import enum
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import click
import msgspec
import yaml


class OutputFormat(enum.Enum):
    """Output format of a command."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4


def show(output: OutputFormat, value: Any, table: str) -> None:
    """Print ``value`` as JSON or YAML, or else ``table``."""
    if output is OutputFormat.JSON:
        click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())
    elif output is OutputFormat.YAML:
        click.echo(yaml.safe_dump(msgspec.to_builtins(value), sort_keys=False).rstrip())
    else:
        click.echo(table)


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with aligned columns."""
    cells = [list(header)] + [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def fail(messages: Sequence[str], code: ExitCode = ExitCode.FAILED) -> NoReturn:
    """Print errors to standard error and exit."""
    for message in messages:
        click.echo(f"error: {message}", err=True)
    sys.exit(code)
