"""``rowanrail explain``: the story of one request from decision logs."""

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from rowanrail.cli.output import ExitCode, fail
from rowanrail.explain.lines import LogLine, ReadResult, read_lines
from rowanrail.explain.story import AROUND_SECONDS, Story, tell


@click.command("explain")
@click.argument("request")
@click.argument("files", nargs=-1, type=click.Path(allow_dash=True))
@click.option("--since", type=float, default=0.0, help="Only lines from this time (seconds).")
@click.option("--member", help="Only lines that name this member, beside the request's own.")
@click.option("--event", type=int, help="Only lines of this event, beside the request's own.")
@click.option("--around", type=float, default=AROUND_SECONDS, help="Seconds shown around it.")
@click.option("--json", "as_json", is_flag=True, help="Print the story as JSON.")
def explain(request: str, files: tuple[str, ...], **options: Any) -> None:
    """Print what became of REQUEST, its cause first, from the logs in FILES (- or none: stdin)."""
    result = ReadResult([])
    for name in files or ("-",):
        found = _read(name)
        result.lines += found.lines
        result.damaged += found.damaged
    result.lines.sort(key=lambda line: line.time)
    lines = [line for line in result.lines if line.time >= options["since"]]
    story = tell(request, lines, options["around"])
    story.around = _filtered(story.around, options["member"], options["event"])
    if options["as_json"]:
        click.echo(msgspec.json.encode(story))
    else:
        _print(story, result.damaged)
    if not story.statements:
        raise SystemExit(ExitCode.FAILED)


def _read(name: str) -> ReadResult:
    if name == "-":
        return read_lines(sys.stdin)
    try:
        with Path(name).open(errors="replace") as file:
            return read_lines(file)
    except OSError as error:
        fail([f"{name}: can't be read: {error.strerror}; check the name and its rights"])


def _filtered(lines: list[LogLine], member: str | None, event: int | None) -> list[LogLine]:
    if event is not None:
        lines = [line for line in lines if line.event == event]
    if member is not None:
        lines = [line for line in lines if member in msgspec.json.encode(line.fields).decode()]
    return lines


def _print(story: Story, damaged: int) -> None:
    click.echo(f"request {story.request}: {story.outcome}")
    click.echo(f"cause: {story.cause}")
    click.echo(f"promise to the client: {story.promise}")
    for gap in story.missing:
        click.echo(f"missing: {gap}")
    if damaged:
        click.echo(f"missing: {damaged} lines could not be read")
    if not story.statements:
        return
    answered_at = story.statements[-1].time
    click.echo("timeline (seconds before or after the answer):")
    for line in sorted([*story.statements, *story.around], key=lambda line: line.time):
        offset = line.time - answered_at
        click.echo(f"  {offset:+8.3f}  {line.process:<24} RR{line.event:04d} {line.text}")
    decided = {k: v for k, v in story.statements[-1].fields.items() if v not in ("", None)}
    click.echo("decided by: " + ", ".join(f"{k}={v}" for k, v in decided.items()))
