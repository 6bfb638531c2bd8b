"""Operators' HTTP API of a control node, with JSON bodies, health checks and metrics."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from prometheus_client import CollectorRegistry, Gauge, generate_latest
from returns.result import Failure

from rowanrail.cluster.messages import NodesReply, NodesRequest
from rowanrail.config.diff import diff_configurations, redact_secrets
from rowanrail.config.load import parse_configuration
from rowanrail.config.settings import OperatorSpec
from rowanrail.kernel.errors import InvalidRequestError, RowanrailError
from rowanrail.sql_control.messages import (
    ApplyRequest,
    ChangeReply,
    DrainRequest,
    ReadReply,
    ReadRequest,
    RollbackRequest,
    Verdict,
)
from rowanrail.sql_control.service import ControlService

MAXIMUM_REQUEST_BYTES = 16 * 1024 * 1024  # the largest request is a whole configuration
OPERATOR_RETRY_AFTER_SECONDS = 2  # Retry-After of a request that no leader served
MAXIMUM_LIVE_REPORT_AGE_SECONDS = 6.0  # of the reports that a zone's version is computed from

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an apply, diff, drain or rollback request.

    :param configuration: for apply and diff.
    :param members: for drain, as ``group/member``.
    :param drain: whether to begin or end the drain.
    :param version: for rollback.
    """

    change_id: str
    expected_version: int | None = None
    configuration: Any = None
    members: list[str] = []
    drain: bool = True
    version: int = 0


def _json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json", headers=headers)


class OperatorApi:
    """Routes of the operators' API.

    Every node serves them; changes and consistent reads are forwarded to the leader.
    """

    def __init__(self, service: ControlService, operators: list[OperatorSpec]) -> None:
        self._service = service
        self._operators = {spec.token_hash.lower(): spec.name for spec in operators}
        self._metrics = CollectorRegistry()
        self._gauges = {
            name: Gauge(f"rowanrail_control_{name}", text, registry=self._metrics)
            for name, text in (
                ("term", "Term of the consensus log"),
                ("leader", "1 if this node leads"),
                ("applied_index", "Last applied log index"),
                ("log_entries", "Log entries since the snapshot"),
                ("configuration_version", "Version of the configuration"),
                ("proxies", "Proxies that report here"),
            )
        }

    def application(self) -> web.Application:
        """Return the web application with all routes."""
        application = web.Application(
            client_max_size=MAXIMUM_REQUEST_BYTES, middlewares=[self._authenticate_and_handle]
        )
        routes = application.router
        routes.add_get("/health", self._health)
        routes.add_get("/ready", self._ready)
        routes.add_get("/metrics", self._render_metrics)
        routes.add_get("/v1/configuration", self._get_configuration)
        routes.add_post("/v1/configuration", self._apply)
        routes.add_post("/v1/diff", self._diff)
        routes.add_post("/v1/drain", self._drain)
        routes.add_post("/v1/rollback", self._rollback)
        routes.add_get("/v1/status", self._status)
        routes.add_get("/v1/nodes", self._nodes)
        routes.add_delete("/v1/nodes/{name}", self._remove_node)
        return application

    @web.middleware
    async def _authenticate_and_handle(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith("/v1/"):
            operator = self._operator_name(request)
            if operator is None:
                return _json_response({"error": "unknown operator token; set ROWANRAIL_TOKEN"}, 401)
            request["operator"] = operator
        try:
            return await handler(request)
        except web.HTTPException:
            raise
        except InvalidRequestError as error:
            return _json_response({"error": str(error)}, 400)
        except msgspec.MsgspecError as error:
            return _json_response({"error": f"the request body is not valid: {error}"}, 400)
        except RowanrailError as error:
            headers = {"Retry-After": str(OPERATOR_RETRY_AFTER_SECONDS)}
            return _json_response({"error": str(error)}, 503, headers)

    def _operator_name(self, request: web.Request) -> str | None:
        token = request.headers.get("Authorization", "").removeprefix("Bearer ")
        digest = hashlib.sha256(token.encode()).hexdigest()
        for known, name in self._operators.items():
            if hmac.compare_digest(known, digest):
                return name
        return None

    # Health and metrics

    async def _health(self, request: web.Request) -> web.Response:
        failure = self._service.node.failure
        if failure is not None:
            return _json_response({"status": "failed", "error": str(failure)}, 503)
        return _json_response({"status": "ok"})

    async def _ready(self, request: web.Request) -> web.Response:
        leader = self._service.node.raft.leader
        return _json_response({"ready": bool(leader), "leader": leader}, 200 if leader else 503)

    async def _render_metrics(self, request: web.Request) -> web.Response:
        raft = self._service.node.raft
        values = {
            "term": raft.term,
            "leader": int(raft.is_leader),
            "applied_index": self._service.node.applied_index,
            "log_entries": raft.log.size,
            "configuration_version": self._service.state.current.version,
            "proxies": len(self._service.watches.reports()),
        }
        for name, value in values.items():
            self._gauges[name].set(value)
        return web.Response(body=generate_latest(self._metrics), content_type="text/plain")

    # Configuration

    async def _read_configuration(self) -> ReadReply:
        reply = await self._service.call_leader_with_retry(ReadRequest())
        assert isinstance(reply, ReadReply)
        return reply

    async def _get_configuration(self, request: web.Request) -> web.Response:
        reply = await self._read_configuration()
        return _json_response(
            {
                "version": reply.version,
                "configuration": redact_secrets(reply.configuration),
                "drained": reply.drained,
                "history": reply.history,
            }
        )

    async def _decode_body(self, request: web.Request) -> ChangeBody:
        return msgspec.json.decode(await request.read(), type=ChangeBody)

    async def _apply(self, request: web.Request) -> web.Response:
        body = await self._decode_body(request)
        parsed = parse_configuration(body.configuration, "configuration")
        if isinstance(parsed, Failure):
            return _json_response(
                {"error": "rejected as a whole", "problems": parsed.failure()}, 400
            )
        change = ApplyRequest(
            body.change_id, request["operator"], body.expected_version, parsed.unwrap()
        )
        return await self._submit(change)

    async def _diff(self, request: web.Request) -> web.Response:
        body = await self._decode_body(request)
        parsed = parse_configuration(body.configuration, "configuration")
        if isinstance(parsed, Failure):
            return _json_response(
                {"error": "rejected as a whole", "problems": parsed.failure()}, 400
            )
        reply = await self._read_configuration()
        changes = diff_configurations(reply.configuration, parsed.unwrap())
        return _json_response({"version": reply.version, "changes": changes})

    async def _drain(self, request: web.Request) -> web.Response:
        body = await self._decode_body(request)
        change = DrainRequest(body.change_id, request["operator"], body.members, body.drain)
        return await self._submit(change)

    async def _rollback(self, request: web.Request) -> web.Response:
        body = await self._decode_body(request)
        return await self._submit(
            RollbackRequest(body.change_id, request["operator"], body.version)
        )

    async def _submit(self, change: msgspec.Struct) -> web.Response:
        reply = await self._service.call_leader_with_retry(change)
        assert isinstance(reply, ChangeReply)
        outcome = reply.outcome
        accepted = outcome.verdict in (Verdict.ACCEPTED, Verdict.UNCHANGED)
        return _json_response(outcome, 200 if accepted else 409)

    # Status and nodes

    async def _status(self, request: web.Request) -> web.Response:
        reports, silent = await self._service.collect_reports()
        zones: dict[str, int] = {}
        for report in reports:
            if report.seconds_ago < MAXIMUM_LIVE_REPORT_AGE_SECONDS:
                known = zones.get(report.zone, report.version)
                zones[report.zone] = min(known, report.version)
        return _json_response(
            {
                "version": self._service.state.current.version,
                "leader": self._service.node.raft.leader,
                "zones": zones,
                "proxies": reports,
                "silent_control_nodes": silent,
                "drained": self._service.state.current.drained,
            }
        )

    async def _nodes(self, request: web.Request) -> web.Response:
        reply = await self._service.call_leader_with_retry(NodesRequest())
        assert isinstance(reply, NodesReply)
        return _json_response(reply)

    async def _remove_node(self, request: web.Request) -> web.Response:
        reply = await self._service.call_leader_with_retry(
            NodesRequest(remove=request.match_info["name"])
        )
        assert isinstance(reply, NodesReply)
        return _json_response(reply)
