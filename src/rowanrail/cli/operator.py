"""Commands for operators, which send HTTP requests with JSON bodies to any control node."""

import os
import sys
import time
import uuid
from pathlib import Path
from typing import Any

import click
import msgspec
from returns.result import Failure

from rowanrail.cli.client import ControlAnswer, ControlClient, ControlUnavailableError
from rowanrail.cli.output import ExitCode, OutputFormat, fail, format_table, show
from rowanrail.config.load import load_configuration

DEFAULT_CONTROL = "127.0.0.1:7080"
POLL_INTERVAL_SECONDS = 0.1
MAXIMUM_VOTE_POLLS = 300  # about 30 s for a new control node to become a voter


class OperatorContext(msgspec.Struct):
    """Options that are common to all commands for operators."""

    client: ControlClient
    output: OutputFormat

    def request(self, method: str, path: str, body: Any = None) -> ControlAnswer:
        """Send a request and return the answer; a failure exits with a message."""
        try:
            answer = self.client.request(method, path, body)
        except ControlUnavailableError as error:
            fail([str(error)], ExitCode.UNAVAILABLE)
        if answer.status in (400, 401):
            fail(answer.body.get("problems") or [answer.body.get("error", "refused")])
        return answer


def operator_options(function: Any) -> Any:
    """Add the options that are common to all commands for operators."""

    def with_context(controls: tuple[str, ...], token: str, output: str, **arguments: Any) -> Any:
        names = [name for value in controls for name in value.split(",") if name]
        client = ControlClient(names or [DEFAULT_CONTROL], token)
        return function(OperatorContext(client, OutputFormat(output)), **arguments)

    with_context.__name__ = function.__name__
    with_context.__doc__ = function.__doc__
    with_context.__click_params__ = getattr(function, "__click_params__", [])  # type: ignore[attr-defined]
    decorated = click.option(
        "--control",
        "controls",
        multiple=True,
        envvar="ROWANRAIL_CONTROL",
        metavar="IP:PORT",
        help=f"HTTP address of a control node; may be repeated. [default: {DEFAULT_CONTROL}]",
    )(with_context)
    decorated = click.option(
        "--token", envvar="ROWANRAIL_TOKEN", default="", help="Your operator token."
    )(decorated)
    return click.option(
        "--output",
        type=click.Choice([item.value for item in OutputFormat]),
        default="table",
        show_default=True,
    )(decorated)


def _load_configuration(path: str) -> Any:
    loaded = load_configuration(Path(path))
    if isinstance(loaded, Failure):
        fail(
            [*loaded.failure(), "nothing was changed: a configuration is taken whole or not at all"]
        )
    return msgspec.to_builtins(loaded.unwrap())


def _changes_table(changes: list[Any]) -> str:
    if not changes:
        return "no changes"
    rows = [(change["path"], change["before"] or "-", change["after"] or "-") for change in changes]
    return format_table(("PATH", "BEFORE", "AFTER"), rows)


@click.command()
@click.option(
    "-f", "--file", "path", required=True, help="Configuration file, or folder of *.yaml files."
)
@operator_options
def diff(context: OperatorContext, path: str) -> None:
    """Show the changes that applying a file would make. Exits with 1 if there are any, else 0."""
    body = {"change_id": "diff", "configuration": _load_configuration(path)}
    answer = context.request("POST", "/v1/diff", body)
    changes = answer.body["changes"]
    show(context.output, answer.body, _changes_table(changes))
    sys.exit(ExitCode.FAILED if changes else ExitCode.OK)


@click.command()
@click.option(
    "-f", "--file", "path", required=True, help="Configuration file, or folder of *.yaml files."
)
@click.option("--expect-version", type=int, help="Apply only if this version is in force.")
@click.option("--change-id", help="Id of this change; retrying with the same id is safe.")
@click.option("--wait", is_flag=True, help="Wait until the version is in force in every zone.")
@click.option("--wait-seconds", default=30.0, show_default=True, help="Maximum wait, in seconds.")
@operator_options
def apply(
    context: OperatorContext,
    path: str,
    expect_version: int | None,
    change_id: str | None,
    wait: bool,
    wait_seconds: float,
) -> None:
    """Apply a configuration atomically. Exits with 3 if it conflicts with another change."""
    body = {
        "change_id": change_id or str(uuid.uuid4()),
        "expected_version": expect_version,
        "configuration": _load_configuration(path),
    }
    outcome = _submit(context, "/v1/configuration", body)
    if wait:
        _wait_in_force(context, outcome["version"], wait_seconds)


def _submit(context: OperatorContext, path: str, body: dict[str, Any]) -> Any:
    answer = context.request("POST", path, body)
    outcome = answer.body
    verdict = outcome["verdict"]
    if verdict == "conflict":
        fail(
            [
                f"not applied: version {outcome['version']} is in force, by {outcome['winner']}; "
                "look at `rowanrail diff`, then apply against the new version"
            ],
            ExitCode.CONFLICT,
        )
    if verdict == "reused-id":
        fail([f"change id {body['change_id']} was used for another change"], ExitCode.CONFLICT)
    show(context.output, outcome, f"{verdict}: version {outcome['version']}")
    return outcome


def _wait_in_force(context: OperatorContext, version: int, seconds: float) -> None:
    began = time.monotonic()
    reported: set[str] = set()
    status: Any = {"zones": {}}
    while time.monotonic() - began < seconds:
        status = context.request("GET", "/v1/status").body
        for zone, in_force in sorted(status["zones"].items()):
            if in_force >= version and zone not in reported:
                reported.add(zone)
                elapsed = time.monotonic() - began
                click.echo(f"zone {zone}: version {in_force} in force after {elapsed:.2f} s")
        if reported and reported >= set(status["zones"]):
            return
        time.sleep(POLL_INTERVAL_SECONDS)
    late = sorted(set(status["zones"]) - reported) or ["no zone has a proxy that reports"]
    fail([f"version {version} is not in force everywhere yet: {', '.join(late)}"])


@click.command()
@click.option("--history", "with_history", is_flag=True, hidden=True)
@operator_options
def get(context: OperatorContext, with_history: bool) -> None:
    """Show the configuration; secrets are hidden."""
    body = context.request("GET", "/v1/configuration").body
    value = {"version": body["version"], **body["configuration"], "drained": body["drained"]}
    output = OutputFormat.YAML if context.output is OutputFormat.TABLE else context.output
    show(output, value, "")


@click.command()
@operator_options
def history(context: OperatorContext) -> None:
    """Show the accepted versions, with author, time and changes."""
    revisions = context.request("GET", "/v1/configuration").body["history"]
    rows = [
        (
            revision["version"],
            revision["time"],
            revision["author"],
            revision["change_id"],
            "; ".join(change["path"] for change in revision["changes"][:3])
            + (" ..." if len(revision["changes"]) > 3 else ""),
        )
        for revision in revisions
    ]
    show(
        context.output,
        revisions,
        format_table(("VERSION", "TIME", "AUTHOR", "CHANGE", "PATHS"), rows),
    )


@click.command()
@click.argument("version", type=int)
@click.option("--change-id", help="Id of this change; retrying with the same id is safe.")
@operator_options
def rollback(context: OperatorContext, version: int, change_id: str | None) -> None:
    """Apply the contents of an earlier VERSION as a new version."""
    body = {"change_id": change_id or str(uuid.uuid4()), "version": version}
    _submit(context, "/v1/rollback", body)


@click.command()
@operator_options
def status(context: OperatorContext) -> None:
    """Show groups, members, versions in force and the share of replica reads."""
    body = context.request("GET", "/v1/status").body
    show(context.output, body, _status_table(body))


def _status_table(body: Any) -> str:
    lines = [f"version {body['version']}, leader {body['leader'] or 'none'}"]
    if body["silent_control_nodes"]:
        lines.append(f"silent control nodes: {', '.join(body['silent_control_nodes'])}")
    proxies = [
        (
            report["proxy"],
            report["zone"],
            report["version"],
            _replica_read_share(report),
            f"{report['seconds_ago']:.1f}",
        )
        for report in body["proxies"]
    ]
    header = ("PROXY", "ZONE", "VERSION", "REPLICA READS", "HEARD (s ago)")
    lines += ["", format_table(header, proxies)]
    members: dict[tuple[str, str], Any] = {}
    for report in body["proxies"]:
        for member in report["groups"]:
            members.setdefault((member["group"], member["member"]), member)
    rows = [
        (
            group,
            name,
            member["zone"],
            member["role"] if member["reachable"] else f"{member['role']} (silent)",
            member["term"],
            member["position"],
            f"{member['lag_seconds']:.1f}",
            "leaving" if member["leaving"] else "",
        )
        for (group, name), member in sorted(members.items())
    ]
    header = ("GROUP", "MEMBER", "ZONE", "ROLE", "TERM", "POSITION", "SEEN (s ago)", "")  # type: ignore[assignment]
    return "\n".join([*lines, "", format_table(header, rows)])


def _replica_read_share(report: Any) -> str:
    reads = report["replica_reads"] + report["primary_reads"]
    return f"{report['replica_reads'] / reads:.1%}" if reads else "-"


def _drain(context: OperatorContext, members: tuple[str, ...], drain: bool) -> None:
    body = {"change_id": str(uuid.uuid4()), "members": list(members), "drain": drain}
    _submit(context, "/v1/drain", body)


@click.command()
@click.argument("members", nargs=-1, required=True, metavar="GROUP/MEMBER...")
@operator_options
def drain(context: OperatorContext, members: tuple[str, ...]) -> None:
    """Stop sending new work to members."""
    _drain(context, members, True)


@click.command()
@click.argument("members", nargs=-1, required=True, metavar="GROUP/MEMBER...")
@operator_options
def undrain(context: OperatorContext, members: tuple[str, ...]) -> None:
    """Send new work to drained members again."""
    _drain(context, members, False)


@click.group()
def member() -> None:
    """List or remove control nodes, or wait until a new one can vote."""


def _show_nodes(context: OperatorContext, body: Any) -> None:
    rows = [
        (
            node["name"],
            node["node"],
            node["address"],
            "leader" if node["leader"] else "voter" if node["voter"] else "learner",
            node["behind"],
            f"{node['answered_seconds_ago']:.1f}",
        )
        for node in body["nodes"]
    ]
    header = ("NAME", "ID", "ADDRESS", "ROLE", "BEHIND", "HEARD (s ago)")
    show(context.output, body, format_table(header, rows))


@member.command("list")
@operator_options
def member_list(context: OperatorContext) -> None:
    """List the control nodes."""
    _show_nodes(context, context.request("GET", "/v1/nodes").body)


@member.command("remove")
@click.argument("name")
@operator_options
def member_remove(context: OperatorContext, name: str) -> None:
    """Remove a control node that is permanently lost."""
    _show_nodes(context, context.request("DELETE", f"/v1/nodes/{name}").body)


@member.command("add")
@click.argument("name")
@operator_options
def member_add(context: OperatorContext, name: str) -> None:
    """Wait until the new control node NAME, started with an empty folder, can vote."""
    for _ in range(MAXIMUM_VOTE_POLLS):
        body = context.request("GET", "/v1/nodes").body
        if any(node["name"] == name and node["voter"] for node in body["nodes"]):
            _show_nodes(context, body)
            return
        time.sleep(POLL_INTERVAL_SECONDS)
    fail([f"{name} has no vote yet; start `rowanrail control` there and look at its log"])


COMMANDS = (apply, diff, get, history, rollback, status, drain, undrain, member)
PASSWORD_VARIABLE = "ROWANRAIL_PASSWORD"


def read_password() -> str:
    """Return the password from the environment, or prompt for it."""
    password = os.environ.get(PASSWORD_VARIABLE)
    return password if password is not None else str(click.prompt("Password", hide_input=True))
