"""``rowanrail explain``: the diagnosis of one request from decision logs.

Reads the logs and prints the diagnosis; :mod:`rowanrail.explain` derives it.
"""

import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import IO, Any

import click
import msgspec

from rowanrail.cli.output import ExitCode, fail
from rowanrail.explain.diagnosis import CONTEXT_SECONDS, Diagnosis, diagnose
from rowanrail.explain.lines import LogLine
from rowanrail.explain.search import Source, search

PROGRESS_INTERVAL_SECONDS = 2.0  # between progress reports on standard error


@click.command("explain")
@click.argument("request")
@click.argument("files", nargs=-1, type=click.Path(allow_dash=True))
@click.option(
    "--since", type=float, default=0.0, help="Read only lines since this Unix time, in seconds."
)
@click.option("--member", help="Show only related lines that name this member.")
@click.option("--event", type=int, help="Show only related lines with this event number.")
@click.option(
    "--around",
    type=float,
    default=CONTEXT_SECONDS,
    help="Show related lines up to this many seconds before the request and after its answer.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the diagnosis as JSON.")
def explain(request: str, files: tuple[str, ...], **options: Any) -> None:
    """Diagnose REQUEST from the decision logs in FILES (standard input if none, or for -)."""
    with tempfile.TemporaryFile("w+", errors="replace") as spool:
        sources: list[Source] = [
            _StandardInput(sys.stdin, spool) if name == "-" else _LogFile(Path(name))
            for name in files or ("-",)
        ]
        progress = _Progress(len(sources))
        result = search(request, sources, options["around"], options["since"], progress.report)
    diagnosis = diagnose(request, result.lines, options["around"])
    diagnosis.around = _filter_lines(diagnosis.around, options["member"], options["event"])
    if options["as_json"]:
        click.echo(msgspec.json.encode(diagnosis))
    else:
        _print_diagnosis(diagnosis, result.damaged)
    if not diagnosis.statements:
        raise SystemExit(ExitCode.FAILED)


class _LogFile:
    """A log in a file."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def lines(self) -> Iterator[str]:
        """Return the lines of the file; exits with a message if it can't be read."""
        try:
            with self._path.open(errors="replace") as file:
                yield from file
        except OSError as error:
            fail(
                [
                    f"{self._path}: can't be read: {error.strerror}; check the path and its "
                    "permissions"
                ]
            )


class _StandardInput:
    """A log from standard input, copied to a temporary file because it is read twice."""

    def __init__(self, stream: IO[str], spool: IO[str]) -> None:
        self._spool = spool
        for line in stream:
            spool.write(line)

    def lines(self) -> Iterator[str]:
        """Return the lines of the copy."""
        self._spool.seek(0)
        yield from self._spool


class _Progress:
    """Reports the progress of a long search on standard error."""

    def __init__(self, sources: int) -> None:
        self._sources = sources
        self._read = 0
        self._reported_at = time.monotonic()

    def report(self, pass_number: int, source: Source) -> None:
        """Count a log that is about to be read, and report progress if it is time."""
        now = time.monotonic()
        if now - self._reported_at >= PROGRESS_INTERVAL_SECONDS:
            self._reported_at = now
            click.echo(
                f"read {self._read} of {2 * self._sources} logs, pass {pass_number}", err=True
            )
        self._read += 1


def _filter_lines(lines: list[LogLine], member: str | None, event: int | None) -> list[LogLine]:
    if event is not None:
        lines = [line for line in lines if line.event == event]
    if member is not None:
        lines = [line for line in lines if member in msgspec.json.encode(line.fields).decode()]
    return lines


def _print_diagnosis(diagnosis: Diagnosis, damaged: int) -> None:
    click.echo(f"request {diagnosis.request}: {diagnosis.outcome}")
    click.echo(f"cause: {diagnosis.cause}")
    click.echo(f"guarantee to the client: {diagnosis.promise}")
    for gap in diagnosis.missing:
        click.echo(f"missing: {gap}")
    if damaged:
        click.echo(f"missing: {damaged} lines could not be parsed")
    if not diagnosis.statements:
        return
    answered_at = diagnosis.statements[-1].time
    click.echo("timeline (seconds before or after the answer):")
    for line in sorted([*diagnosis.statements, *diagnosis.around], key=lambda line: line.time):
        offset = line.time - answered_at
        click.echo(f"  {offset:+8.3f}  {line.process:<24} RR{line.event:04d} {line.text}")
    decided = {k: v for k, v in diagnosis.statements[-1].fields.items() if v not in ("", None)}
    click.echo("fields of the answer: " + ", ".join(f"{k}={v}" for k, v in decided.items()))
