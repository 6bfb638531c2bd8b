"""Conversion of statements and answers to messages between gateways, and back.

Owns the part of a statement's timeout that is reserved for the round trip. Relies on
:mod:`messages` for the message types; nothing here does I/O or keeps state.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from rowanrail.gateway.relay.messages import Reply, RunStatement
from rowanrail.gateway.session_context import SessionContext, is_write
from rowanrail.model.position import Position
from rowanrail.model.routing import Route
from rowanrail.model.statements import Answer, StatementKind, TypedStatement
from rowanrail.model.trace import Trace
from rowanrail.scheduling.load import ServiceLoad
from rowanrail.tenants.model import ClientIdentity

__all__ = [
    "OutgoingStatement",
    "answer_from",
    "apply_session_values",
    "build_reply",
    "build_run_message",
    "reply_margin",
    "route_from",
    "statement_from",
]

REPLY_MARGIN_MS = 30.0  # the holder times out this much earlier, so that its answer is in time
# The same for a holder in another region, whose round trip is 40 ms longer. If the answer that a
# statement has not run came too late, the client would be told that it might have run.
REMOTE_REPLY_MARGIN_MS = 80.0
MIN_TIMEOUT_MS = 1.0  # a statement without time left still gets its answer from the holder


@dataclass(frozen=True, slots=True)
class OutgoingStatement:
    """A statement to send to another gateway, with the session state that it needs.

    Parameters
    ----------
    timeout : float
        Milliseconds until its deadline.
    transaction : int
        0 for a single statement.
    begins : bool
        Whether it is the first statement of its transaction.
    version : int
        Version of the configuration by which the client's key was accepted.
    """

    statement: TypedStatement
    route: Route
    session: SessionContext
    timeout: float
    transaction: int = 0
    read_only: bool = False
    is_detour: bool = False
    begins: bool = True
    version: int = 0


def reply_margin(is_detour: bool) -> float:
    """Return how many milliseconds of a statement's timeout are reserved for the round trip."""
    return REMOTE_REPLY_MARGIN_MS if is_detour else REPLY_MARGIN_MS


def build_run_message(outgoing: OutgoingStatement, call: int) -> RunStatement:
    """Return the message that asks a holder to run a statement."""
    statement, route, session = outgoing.statement, outgoing.route, outgoing.session
    shape = ""
    if statement.kind is StatementKind.EXECUTE:
        shape = session.prepared[statement.name][1]
    return RunStatement(
        call=call,
        transaction=outgoing.transaction,
        read_only=outgoing.read_only,
        service=route.service,
        route=route.name,
        consistency=route.consistency,
        timeout=max(MIN_TIMEOUT_MS, outgoing.timeout - reply_margin(outgoing.is_detour)),
        objective=route.objective_seconds * 1000,
        staleness=route.staleness_seconds * 1000,
        priority=route.priority,
        request_id=statement.request_id,
        kind=statement.kind,
        text=statement.text,
        name=statement.name,
        value=statement.value,
        writes=is_write(statement, session),
        shape=shape,
        values=session.values,
        floor=session.floors.get(route.service),
        is_detour=outgoing.is_detour,
        begins=outgoing.begins,
        tenant=session.identity.tenant,
        key=session.identity.key,
        database=route.database,
        version=outgoing.version,
        is_retry=session.is_retrying,
        regions=None if route.regions is None else sorted(route.regions),
    )


def route_from(run: RunStatement) -> Route:
    """Return the route of a forwarded statement."""
    return Route(
        name=run.route,
        database=run.database or run.route,
        service=run.service,
        consistency=run.consistency,
        timeout_seconds=run.timeout / 1000,
        objective_seconds=run.objective / 1000,
        staleness_seconds=run.staleness / 1000,
        priority=run.priority,
        regions=None if run.regions is None else frozenset(run.regions),
        regions_version=0 if run.regions is None else run.version,
    )


def statement_from(run: RunStatement) -> TypedStatement:
    """Return the client's statement from a message."""
    return TypedStatement(run.request_id, run.kind, run.text, run.name, run.value)


def apply_session_values(session: SessionContext, run: RunStatement) -> None:
    """Set in ``session`` what the client's session has set."""
    session.identity = ClientIdentity(run.tenant, run.key)
    session.values = run.values
    session.is_retrying = run.is_retry
    if run.kind is StatementKind.EXECUTE:
        session.prepared[run.name] = (run.writes, run.shape)
    if run.floor is not None:
        session.floors[run.service] = run.floor


def build_reply(
    run: RunStatement,
    answer: Answer,
    floor: Position | None,
    trace: Trace,
    load: ServiceLoad | None = None,
    doubts: Mapping[str, int] = MappingProxyType({}),
) -> Reply:
    """Return the reply to a statement, with the load and the doubted members of the holder."""
    return Reply(
        call=run.call,
        rows=answer.rows,
        signature=answer.signature,
        refusal=answer.refusal,
        message=answer.message,
        position=answer.position,
        floor=floor,
        trace=trace,
        load=load,
        doubts=dict(doubts),
    )


def answer_from(reply: Reply) -> Answer:
    """Return the client's answer from a reply."""
    return Answer(
        rows=reply.rows,
        signature=reply.signature,
        refusal=reply.refusal,
        message=reply.message,
        position=reply.position,
    )
