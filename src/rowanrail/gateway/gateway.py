"""The core of the proxy for typed statements: configuration, services and sessions.

Used by the process, its front ends and other gateways. Keeps the current configuration and
directory, the services and the sessions, and runs the periodic work of the services.
"""

import functools
from collections.abc import Callable

from rowanrail.directory.messages import Evacuations
from rowanrail.gateway.discovery.current_directory import CurrentDirectory
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.events import (
    CONFIGURATION_APPLIED,
    DETOUR_FOUND,
    DIRECTORY_APPLIED,
    LINK_LOST,
    LINK_RESTORED,
    RECEIVED_OUTSIDE,
)
from rowanrail.gateway.policies import GatewayPolicies
from rowanrail.gateway.relay.holdings import Holdings
from rowanrail.gateway.relay.peers import NO_PEERS, Peers
from rowanrail.gateway.relay.remote_admission import RemoteAdmission
from rowanrail.gateway.relay.work_routing import WorkRouter
from rowanrail.gateway.services.departure_log import DepartureLog
from rowanrail.gateway.services.load_measurement import measure_load
from rowanrail.gateway.services.locality import Locality
from rowanrail.gateway.services.primary_log import log_primary_state
from rowanrail.gateway.services.restriction_log import log_restrictions
from rowanrail.gateway.services.service import Service
from rowanrail.gateway.services.warm_up_limits import WarmUpContext, current_unix_ms
from rowanrail.gateway.services.warm_up_log import log_warm_up, log_warm_up_part
from rowanrail.gateway.services.weight_log import log_weight_change
from rowanrail.gateway.services.zone_evacuations import ZoneEvacuations
from rowanrail.gateway.session_context import PreparedStatementNames
from rowanrail.gateway.sessions.access import AccessControl
from rowanrail.gateway.sessions.outcomes import OutcomeRecorder
from rowanrail.gateway.sessions.pending import PendingSample, PendingSessionStart
from rowanrail.gateway.sessions.session import Session
from rowanrail.gateway.work.local import LocalExecutor
from rowanrail.gateway.work.ports import StatementExecutor
from rowanrail.kernel.clock import Clock, Scheduler, Timer
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.registry import Registry
from rowanrail.members.channel import MemberDriver
from rowanrail.members.departures import Departures, use_seconds
from rowanrail.members.primary_health import primary_health_report
from rowanrail.members.samples import PositionSample
from rowanrail.model.data_regions import DataRegions
from rowanrail.model.members import MemberRecord, PrimaryHealth
from rowanrail.model.routing import Route, RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Answer, Refusal
from rowanrail.placement.senders import warm_up_senders
from rowanrail.scheduling.load import ServiceLoad
from rowanrail.scheduling.plan import Plan
from rowanrail.tenants.demand import DemandAggregator
from rowanrail.tenants.model import ClientIdentity, Tenants
from rowanrail.tenants.quota_parameters import QuotaParameters

TICK_SECONDS = 0.05  # a sixth of the shortest timeout, SAMPLE_TIMEOUT_SECONDS
# Unused services are processed once in so many ticks: 75 of them took 0.7 % of a core when each was
# processed in every tick.
IDLE_SERVICE_TICKS = 10
DEFAULT_IDLE_TRANSACTION_SECONDS = 60.0  # limit for idle transactions without a configuration
SAMPLE_REQUEST_SECONDS = 0.3  # time limit for a sample that another gateway requests
DEFAULT_EVACUATION_MS = 5000.0  # from the acknowledgement until nothing is sent to a zone
DEFAULT_DRAIN_MS = 7000.0  # from the acknowledgement until a leaving member begins nothing more
START_WAIT_SECONDS = 1.2  # for a configuration; clients time out after 2 s


class Gateway:
    """The sessions and services of one proxy."""

    def __init__(
        self,
        locality: Locality,
        driver: MemberDriver,
        clock: Scheduler,
        decisions: DecisionLog,
        registry: Registry,
        peers: Peers = NO_PEERS,
        quota_parameters: QuotaParameters = QuotaParameters(),  # noqa: B008 - it is frozen
        evacuation_ms: float = DEFAULT_EVACUATION_MS,
        drain_ms: float = DEFAULT_DRAIN_MS,
        unix_ms: Callable[[], float] = current_unix_ms,
    ) -> None:
        self.clock = clock
        self.names = PreparedStatementNames()
        self.configuration: RoutingConfiguration | None = None
        self.services: dict[str, Service] = {}
        self.sessions: dict[Session, None] = {}
        self.stopping = False
        self.on_primary_change: Callable[[], None] = lambda: None
        self._locality = locality
        self._driver = driver
        self._decisions = decisions
        self._peers = peers
        self._policies = GatewayPolicies.create(registry)
        self._timer: Timer | None = None
        self._ticks = 0
        self._waiting_starts: list[PendingSessionStart] = []
        self._data_regions: DataRegions | None = None
        self._received_outside = 0
        self._session_count = 0
        self._sender_inputs: object = None
        self._departures = Departures()
        self._use_seconds = use_seconds(drain_ms)
        self._departure_log = DepartureLog(decisions)
        self.access = AccessControl(
            Clock(clock), decisions, self._policies.key_check, quota_parameters
        )
        self.outcomes = OutcomeRecorder(decisions, self.access)
        self.evacuations = ZoneEvacuations(clock, decisions, evacuation_ms)
        self.holdings = Holdings(self, peers, decisions)
        self.outcomes.on_trace = self.holdings.note_client_statement
        self._directory = CurrentDirectory(peers)
        self._warm_up_context = WarmUpContext(
            "" if peers.neighbours is None else peers.neighbours.name, unix_ms=unix_ms
        )
        self._remote_admission = RemoteAdmission(Clock(clock))
        self._router = self._make_router()
        self._connect_peer_callbacks()

    def _make_router(self) -> WorkRouter:
        return WorkRouter(
            self._locality,
            self.names,
            self.clock,
            self._policies.link_outcome,
            self._remote_admission,
            self._peers,
            lambda: self.access.version,
        )

    def _connect_peer_callbacks(self) -> None:
        """Register callbacks for changes of links to other gateways and for found detours."""
        neighbours, detours = self._peers.neighbours, self._peers.detours
        if neighbours is not None:
            neighbours.on_link = self._on_link
        if detours is not None:
            detours.on_detour_found = self._on_detour_found
            detours.on_link_lost = self._remote_admission.forget

    @property
    def peers(self) -> Peers:
        """The other gateways."""
        return self._peers

    def start(self) -> None:
        """Start the periodic work of the services."""
        self._timer = self.clock.call_later(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._ticks += 1
        services = self._due_services()
        self.holdings.tick(services)
        self.evacuations.tick()
        for service in services:
            service.tick()
        self._decisions.flush()
        self._timer = self.clock.call_later(TICK_SECONDS, self._tick)

    def _due_services(self) -> list[Service]:
        """Return the services to process in this tick: those in use, or all."""
        if self._ticks % IDLE_SERVICE_TICKS:
            return [service for service in self.services.values() if service.needs_tick]
        return list(self.services.values())

    @property
    def zone(self) -> str:
        """The zone of this gateway."""
        return self._locality.zone

    @property
    def is_ready(self) -> bool:
        """Whether the gateway accepts new clients."""
        return self._is_initialized and not self.stopping

    @property
    def _is_initialized(self) -> bool:
        return self.configuration is not None and self._directory.has_members

    # Configuration and members

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Apply a configuration of a higher version; return whether it was applied."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self._set_services(configuration)
        self._data_regions = DataRegions.of(configuration)
        for service in self.services.values():
            service.set_tenants(configuration.tenants or Tenants())
            service.set_data_regions(self._data_regions)
        self.holdings.apply_limits()
        self._update_senders()
        self.access.set_configuration(configuration)
        self.access.deny_withdrawn(list(self.sessions))
        waiting, self._waiting_starts = self._waiting_starts, []
        for start in waiting:
            start.run()
        self._decisions.note(
            CONFIGURATION_APPLIED, version=configuration.version, routes=len(configuration.routes)
        )
        if self._data_regions is not None:
            log_restrictions(
                self._decisions, self._data_regions, self._locality, self.access.version
            )
        return True

    def _set_services(self, configuration: RoutingConfiguration) -> None:
        for name in list(self.services):
            if name not in configuration.services:
                self.services.pop(name).close()
        for name, spec in configuration.services.items():
            service = self.services.get(name)
            if service is not None:
                service.set_spec(spec)
            else:
                self.services[name] = self._new_service(name, spec)

    def _new_service(self, name: str, spec: ServiceSpec) -> Service:
        service = Service(
            spec,
            self._locality,
            self._driver,
            self.clock,
            self._policies,
            self._warm_up_context,
        )
        service.primary.on_alarm = functools.partial(self._on_primary_change, service)
        service.primary.on_unavailable = functools.partial(self._router.ask_for_samples, service)
        note = functools.partial(log_weight_change, self._decisions, service)
        service.estimates.weights.on_change = note
        service.warm_up.on_change = functools.partial(log_warm_up, self._decisions, service)
        service.warm_up.on_part = functools.partial(log_warm_up_part, self._decisions, service)
        service.set_fleet_size(self._directory.population)
        service.leaving.on_use = functools.partial(self._on_leaving_member_used, service)
        self.evacuations.apply_to(service)
        service.set_departures(self._departures, self._use_seconds)
        service.set_members(self._directory.members(name))
        return service

    def when_configured(self, proceed: Callable[[], None]) -> None:
        """Call ``proceed`` once there is a configuration, or after ``START_WAIT_SECONDS``."""
        if self.configuration is not None:
            proceed()
            return
        waiting = PendingSessionStart(proceed)
        self._waiting_starts.append(waiting)
        self.clock.call_later(START_WAIT_SECONDS, waiting.run)

    def set_directory(self, directory: Directory) -> None:
        """Apply a directory of members and other gateways unless the current one is newer."""
        if directory.revision < self._directory.revision:
            return
        self._update_departures(directory.members)
        self._directory.update(directory, self.services)
        self.access.quota.set_population(directory.population.gateways)
        self.holdings.set_fleet_size(directory.population)
        self._update_senders()
        records = directory.members
        self._decisions.note(
            DIRECTORY_APPLIED,
            revision=directory.revision,
            members=len(records),
            leaving=sorted(record.instance for record in records if record.leaving),
            primaries=sorted(record.instance for record in records if record.primary),
            gateways=directory.population.gateways,
            zones=directory.population.zones,
            neighbours=len(directory.neighbours),
        )

    def _update_departures(self, records: list[MemberRecord]) -> None:
        """Learn which members leave, before services are told of their records."""
        now = self.clock.time()
        confirmed_at = self._warm_up_context.lease.asked_at / 1000
        departures = self._departures.updated(records, now, confirmed_at)
        if departures == self._departures:
            return
        self._departures = departures
        self._departure_log.note_departures(departures, records, now)
        for service in self.services.values():
            service.set_departures(departures, self._use_seconds)

    def _on_leaving_member_used(self, service: Service, record: MemberRecord) -> None:
        self._departure_log.note_use(service, record, self.clock.time())

    def set_evacuations(self, evacuations: Evacuations) -> None:
        """Apply the control nodes' newest evacuations of zones."""
        if self.evacuations.update(evacuations, has_started=self._is_initialized):
            for service in self.services.values():
                self.evacuations.apply_to(service)

    def set_plan(self, plan: Plan) -> None:
        """Apply the control nodes' newest plan of the holders of connections."""
        self.holdings.adopt_plan(plan)
        self._update_senders()

    def note_confirmed(self, asked_at_ms: float) -> None:
        """Record that an up-to-date control node confirmed the directory and the plan.

        Parameters
        ----------
        asked_at_ms : float
            Monotonic time at which the confirmation was requested.
        """
        planned = self.holdings.planned
        state = (self._directory.revision, 0 if planned is None else planned.plan.number)
        self._warm_up_context.lease.confirm(asked_at_ms, Clock(self.clock).now, state)
        for service in self.services.values():
            if service.spec.limits_warm_up:
                service.warm_up.note_confirmed()

    def _update_senders(self) -> None:
        """Update which gateways of the own group may send to members that warm up."""
        if not self._directory.has_members:
            return
        planned, gateways = self.holdings.planned, self._directory.group
        if not gateways and self._directory.population.gateways <= 1:
            gateways = [self._warm_up_context.name]
        limited = [
            (service, service.share.is_regional)
            for service in self.services.values()
            if service.spec.limits_warm_up
        ]
        inputs = (gateways, 0 if planned is None else planned.plan.number, limited)
        if inputs == self._sender_inputs:
            return  # ranking gateways for each service costs more than all other work
        self._sender_inputs = inputs
        for service, is_regional in limited:
            named = () if planned is None else (planned.named_holders,)
            senders = warm_up_senders(service.spec.name, is_regional, gateways, *named)
            service.warm_up.set_senders(senders)

    def _on_link(self, peer: str, is_up: bool, reason: str) -> None:
        if not is_up:
            self._remote_admission.forget(peer)
        self._decisions.note(LINK_RESTORED if is_up else LINK_LOST, peer=peer, reason=reason)

    def _on_primary_change(self, service: Service) -> None:
        """Log the loss or return of a primary and have it reported to the control nodes."""
        log_primary_state(self._decisions, service.primary, self.clock.time())
        self.on_primary_change()

    def health(self) -> list[PrimaryHealth]:
        """Return the health of the primaries that this proxy uses."""
        now = self.clock.time()
        return [primary_health_report(service.primary, now) for service in self.services.values()]

    # Sessions

    def open_session(self, database: str, key: str) -> Session | Answer:
        """Open a session for a database with a client's API key, or return the refusal."""
        if self.configuration is None:
            return Answer(refusal=Refusal.BUSY, message="no configuration yet; retry in 1 s")
        if database not in self.configuration.routes:
            return self.access.refuse_unknown_database(database)
        identity = self.access.authenticate(database, key)
        if identity is None:
            return Answer(refusal=Refusal.DENIED, message="no tenant holds this key")
        self._session_count += 1
        session = Session(self, database, identity, f"s{self._session_count}")
        self.sessions[session] = None
        return session

    def admits(self, database: str, identity: ClientIdentity, version: int) -> bool:
        """Return whether a neighbour's client may run statements.

        See :meth:`rowanrail.gateway.relay.serving.LinkServerHost.admits`.
        """
        return self.access.admits(database, identity, version)

    @property
    def demand(self) -> DemandAggregator:
        """Demand of other gateways' clients."""
        return self.access.demand

    def route(self, database: str, tenant: str) -> tuple[Route, StatementExecutor] | Answer:
        """Return a database's route and the executor for a tenant, or the refusal."""
        if self.configuration is None:
            return self.access.refuse_unknown_database(database)
        if self._data_regions is None:
            route = self.configuration.routes.get(database)
        else:
            route = self._data_regions.route(database, tenant)
        local = self.local_work(route.service) if route is not None else None
        if route is None or local is None:
            return self.access.refuse_unknown_database(database)
        service = self.services[route.service]
        return route, self._router.work_for(service, tenant, local, route.regions)

    def local_work(self, service: str, is_detour: bool = False) -> LocalExecutor | None:
        """Return the executor for own connections, None if the service is not served here."""
        target = self.services.get(service)
        return None if target is None else self._router.local_work(target, is_detour)

    @property
    def data_regions(self) -> DataRegions | None:
        """The configuration's restrictions to regions, None if it has none."""
        return self._data_regions

    @property
    def received_outside(self) -> int:
        """Number of statements that other gateways sent here though their regions exclude it."""
        return self._received_outside

    def note_forwarded(self, route: Route, tenant: str, version: int) -> None:
        """Log a neighbour's statement if its regions exclude this gateway.

        See :meth:`rowanrail.gateway.relay.serving.LinkServerHost.note_forwarded`.
        """
        if route.regions is None and self._data_regions is None:
            return
        regions = route.regions
        if self._data_regions is not None:
            regions = self._data_regions.effective(route, tenant)
        if regions is None or self._locality.region in regions:
            return
        self._received_outside += 1
        self._decisions.note(
            RECEIVED_OUTSIDE,
            database=route.database,
            tenant=tenant,
            region=self._locality.region,
            regions=sorted(regions),
            sender_version=version,
            version=self.access.version,
        )

    def _on_detour_found(self, service: str, peer: str) -> None:
        self._decisions.note(DETOUR_FOUND, service=service, peer=peer)

    def sample_primary(
        self, service: str, on_sample: Callable[[PositionSample | None], None]
    ) -> None:
        """Sample a service's primary and call ``on_sample``, with None if none comes in time."""
        target = self.services.get(service)
        if target is None or target.primary.failing_since:
            on_sample(None)
            return
        sample = PendingSample(target.primary, self.clock.time(), on_sample)
        self.clock.call_later(SAMPLE_REQUEST_SECONDS, sample.expire)
        sample.request()

    def load(self, service: str, tenant: str) -> ServiceLoad | None:
        """Return a service's load for a tenant, None if unknown or if statements need not wait."""
        target = self.services.get(service)
        return None if target is None else measure_load(target, tenant, self.clock.time() * 1000)

    def idle_transaction_seconds(self) -> float:
        """Return how many seconds a transaction may be idle."""
        if self.configuration is None:
            return DEFAULT_IDLE_TRANSACTION_SECONDS
        return self.configuration.idle_transaction_seconds

    def session_closed(self, session: Session) -> None:
        """Remove a closed session."""
        self.sessions.pop(session, None)

    # Stopping

    def abort_transactions(self) -> None:
        """Abort all idle transactions."""
        for session in list(self.sessions):
            session.abort("the proxy is stopping")

    def close(self) -> None:
        """Close all sessions, services and links."""
        if self._timer is not None:
            self._timer.cancel()
        for session in list(self.sessions):
            session.close()
        for service in self.services.values():
            service.close()
        if self._peers.neighbours is not None:
            self._peers.neighbours.close()
        if self._peers.detours is not None:
            self._peers.detours.close()
        self._decisions.flush()
