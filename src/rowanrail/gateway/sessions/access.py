"""Access control of a gateway: routes, API keys, and limits of tenants.

Applies to the gateway's own clients and to statements that other gateways forward here. Keys and
limits are evaluated by :mod:`rowanrail.tenants`; each refusal is logged.
"""

from collections.abc import Callable

from rowanrail.gateway.events import KEY_UNKNOWN, KEY_WITHDRAWN, OVER_QUOTA, ROUTE_MISSING
from rowanrail.gateway.policies import KeyCheck
from rowanrail.gateway.sessions.session import Session
from rowanrail.gateway.work.refusals import busy_answer, quota_retry_after_ms
from rowanrail.kernel.clock import Clock
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.model.routing import RoutingConfiguration
from rowanrail.model.statements import Answer, Refusal
from rowanrail.model.trace import Rejection
from rowanrail.scheduling.admission import RejectionCause
from rowanrail.scheduling.retrying import (
    PRIORITY_AFTER_REJECTIONS,
    ClientLabel,
    RetryingClients,
    client_label,
)
from rowanrail.tenants.demand import DemandAggregator
from rowanrail.tenants.model import ClientIdentity, Tenants, key_digest
from rowanrail.tenants.quota import QuotaLimiter
from rowanrail.tenants.quota_parameters import QuotaParameters

__all__ = ["AccessControl"]

DEFAULT_URGENCY = 1  # for a database whose route was removed


class AccessControl:
    """Checks routes, keys and limits against the current configuration.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    decisions : DecisionLog
        Log of refusals; neither keys nor their digests are written to it.
    key_check : KeyCheck
        Decides whether a session's key is still valid.
    terms : QuotaParameters
        Parameters of the limits.

    Attributes
    ----------
    on_rejection : callable
        Called with the cause, urgency and Retry-After in milliseconds of each rejection.
    """

    def __init__(
        self, clock: Clock, decisions: DecisionLog, key_check: KeyCheck, terms: QuotaParameters
    ) -> None:
        self._clock = clock
        self._decisions = decisions
        self._control_peer = ""
        self._confirmed_at: float | None = None
        self._key_check = key_check
        self._quota = QuotaLimiter(clock, terms)
        self._demand = DemandAggregator(clock)
        self._configuration: RoutingConfiguration | None = None
        self._retrying_clients = RetryingClients(clock)
        self._quota_rejections = 0
        self.on_rejection: Callable[[str, int, float], None] = lambda *rejection: None

    @property
    def quota(self) -> QuotaLimiter:
        """Counter and limits of the operations of this gateway's clients."""
        return self._quota

    @property
    def demand(self) -> DemandAggregator:
        """Demand of the clients of other gateways."""
        return self._demand

    @property
    def version(self) -> int:
        """Version of the current configuration, 0 before the first one."""
        return self._configuration.version if self._configuration else 0

    def set_configuration(self, configuration: RoutingConfiguration) -> None:
        """Apply a new configuration."""
        self._configuration = configuration
        self._quota.set_tenants(configuration.tenants or Tenants())

    # Routes

    def note_control_up_to_date(self, peer: str) -> None:
        """Record that a control node confirmed to hold all committed changes."""
        self._control_peer = peer
        self._confirmed_at = self._clock.now

    @property
    def control_age(self) -> float | None:
        """Milliseconds since a control node last confirmed to be up to date, None if none has."""
        return None if self._confirmed_at is None else self._clock.now - self._confirmed_at

    def refuse_unknown_database(self, database: str) -> Answer:
        """Log and return the refusal of a database that has no route."""
        age = self.control_age
        self._decisions.note(
            ROUTE_MISSING,
            database=database,
            version=self.version,
            control=self._control_peer,
            heard_ms=None if age is None else round(age),
        )
        return Answer(refusal=Refusal.UNKNOWN_DATABASE, message=f"no route for {database}")

    # Keys

    def authenticate(self, database: str, key: str) -> ClientIdentity | None:
        """Return the identity of a client's key, None if it may not open a session."""
        identity = self.identify(database, key_digest(key))
        if identity is None:
            self._decisions.note(KEY_UNKNOWN, database=database, version=self.version)
        return identity

    def identify(self, database: str, key: bytes) -> ClientIdentity | None:
        """Return the identity of a key's digest, None if its statements may not run."""
        configuration = self._configuration
        if configuration is None or configuration.tenants is None:
            return ClientIdentity()
        route = configuration.routes.get(database)
        return configuration.tenants.identify(key, route is not None and route.takes_anybody)

    def is_key_valid(self, database: str, identity: ClientIdentity) -> bool:
        """Return whether a key still belongs to the tenant for which its session was opened."""
        return self._key_check.is_same_identity(identity, self.identify(database, identity.key))

    def admits(self, database: str, identity: ClientIdentity, version: int) -> bool:
        """Return whether another gateway's client may run statements here.

        Parameters
        ----------
        database : str
            Database of the client's session.
        identity : ClientIdentity
            The client, as identified by the other gateway.
        version : int
            Version of the configuration that the other gateway used.
        """
        if version > self.version:
            return True  # the other gateway checked it against a newer configuration
        return self.is_key_valid(database, identity)

    def deny_withdrawn(self, sessions: list[Session]) -> None:
        """Deny further statements to sessions whose key is no longer valid."""
        routes = self._configuration.routes if self._configuration else {}
        for session in sessions:
            if session.database not in routes:
                continue  # refused at its next statement, as there is no route
            if not self.is_key_valid(session.database, session.identity):
                self._decisions.note(
                    KEY_WITHDRAWN,
                    session=session.label,
                    tenant=session.identity.tenant,
                    version=self.version,
                )
                session.deny()

    # Limits

    def refuse_over_quota(self, session: Session) -> Answer | None:
        """Count an operation of a session's tenant, or return its refusal if over the limit."""
        urgency = self._urgency(session)
        over = self._quota.admit(session.identity.tenant, urgency)
        if over is None:
            return None
        self._quota_rejections += 1
        retry_after_ms = quota_retry_after_ms(self._quota_rejections, over.retry_after)
        self._decisions.note(
            OVER_QUOTA,
            session=session.label,
            tenant=session.identity.tenant,
            limit=round(over.limit),
            fleet=over.fleet_admitted,
            asked=over.fleet_requested,
            part=round(over.admitted_fraction, 2),
            age_ms=round(over.totals_age),
            heard=round(over.reporting_share, 2),
            urgency=urgency,
            version=self.version,
            return_in=round(retry_after_ms),
        )
        self._note_rejection(session, RejectionCause.TENANT_LIMIT.value, urgency, retry_after_ms)
        return busy_answer("the tenant is at its limit", retry_after_ms)

    def _urgency(self, session: Session) -> int:
        configuration = self._configuration
        route = configuration.routes.get(session.database) if configuration is not None else None
        return DEFAULT_URGENCY if route is None else route.priority

    # Retrying clients

    def note_rejected(self, session: Session, rejection: Rejection | None) -> None:
        """Record that a session's client was rejected, and its Retry-After."""
        if rejection is None:
            self._note_retrying_client(session, 0.0)
            return
        cause, urgency = rejection.cause, rejection.urgency
        self._note_rejection(session, cause, urgency, rejection.return_in)

    def _note_rejection(
        self, session: Session, cause: str, urgency: int, retry_after_ms: float
    ) -> None:
        self._note_retrying_client(session, retry_after_ms)
        self.on_rejection(cause, urgency, retry_after_ms)

    def _note_retrying_client(self, session: Session, retry_after_ms: float) -> None:
        self._retrying_clients.note(
            _retry_label(session), retry_after_ms, session.values.rejections + 1
        )

    def note_retry(self, session: Session) -> None:
        """Set a session's priority by whether its client retries a rejected operation in time."""
        times = self._retrying_clients.claim(_retry_label(session))
        session.values.rejections = times
        session.values.is_retrying = times >= PRIORITY_AFTER_REJECTIONS

    def note_not_run(self, session: Session) -> None:
        """Remove an operation that did not run from its tenant's count."""
        self._quota.refund(session.identity.tenant)


def _retry_label(session: Session) -> ClientLabel:
    identity = session.identity
    return client_label(identity.tenant, session.database, identity.key, session.label)
