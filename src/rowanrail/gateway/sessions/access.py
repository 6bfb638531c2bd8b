"""Who may run statements at this gateway: routes, keys, and limits of tenants.

For sessions and for statements that other gateways send here. Owns the configuration of tenants in
force, the count of their operations, and who was rejected a moment ago. Relies on
:mod:`rowanrail.tenants` for whose a key is and what a limit admits; logs what it refuses.
"""

from collections.abc import Callable

from rowanrail.gateway.events import KEY_UNKNOWN, KEY_WITHDRAWN, OVER_QUOTA, ROUTE_MISSING
from rowanrail.gateway.policies import KeyCheck
from rowanrail.gateway.sessions.session import Session
from rowanrail.gateway.work.refusals import busy_answer, limit_retry_after_ms
from rowanrail.kernel.clock import Clock
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.model.routing import RoutingConfiguration
from rowanrail.model.statements import Answer, Refusal
from rowanrail.model.trace import Rejection
from rowanrail.scheduling.admission import RejectionCause
from rowanrail.scheduling.retrying import GOES_FIRST_AFTER, Label, RetryingClients, client_label
from rowanrail.tenants.demand import DemandAggregator
from rowanrail.tenants.model import ClientIdentity, Tenants, key_digest
from rowanrail.tenants.quota import QuotaLimiter
from rowanrail.tenants.quota_parameters import QuotaParameters

__all__ = ["AccessControl"]

UNKNOWN_URGENCY = 1  # of a database whose route has gone


class AccessControl:
    """Decides by the configuration in force, and logs what it refuses.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    decisions : DecisionLog
        Gets no key, nor a digest of one.
    key_check : KeyCheck
        Says whether a session may go on.
    terms : QuotaParameters
        How limits are judged.
    """

    def __init__(
        self, clock: Clock, decisions: DecisionLog, key_check: KeyCheck, terms: QuotaParameters
    ) -> None:
        self._clock = clock
        self._decisions = decisions
        self._followed = ""
        self._heard_at: float | None = None
        self._key_check = key_check
        self._quota = QuotaLimiter(clock, terms)
        self._demand = DemandAggregator(clock)
        self._configuration: RoutingConfiguration | None = None
        self._retrying_clients = RetryingClients(clock)
        self._over_limit = 0
        self.on_rejection: Callable[[str, int, float], None] = lambda *rejection: None

    @property
    def quota(self) -> QuotaLimiter:
        """Counts operations of this gateway's clients."""
        return self._quota

    @property
    def demand(self) -> DemandAggregator:
        """What clients of other gateways run."""
        return self._demand

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    def set_configuration(self, configuration: RoutingConfiguration) -> None:
        """Take the configuration that is in force from now on."""
        self._configuration = configuration
        self._quota.set_tenants(configuration.tenants or Tenants())

    # Routes

    def note_control_up_to_date(self, peer: str) -> None:
        """Note that a control node said that it holds all that is committed."""
        self._followed = peer
        self._heard_at = self._clock.now

    @property
    def control_age(self) -> float | None:
        """Milliseconds since a control node last said so, None before the first one did."""
        return None if self._heard_at is None else self._clock.now - self._heard_at

    def refuse_unknown_database(self, database: str) -> Answer:
        """Return the refusal of a database that no route names, and log what it rests on."""
        age = self.control_age
        self._decisions.note(
            ROUTE_MISSING,
            database=database,
            version=self.version,
            control=self._followed,
            heard_ms=None if age is None else round(age),
        )
        return Answer(refusal=Refusal.UNKNOWN_DATABASE, message=f"no route for {database}")

    # Keys

    def authenticate(self, database: str, key: str) -> ClientIdentity | None:
        """Return the identity of a client's key, None if it may open no session."""
        identity = self.identify(database, key_digest(key))
        if identity is None:
            self._decisions.note(KEY_UNKNOWN, database=database, version=self.version)
        return identity

    def identify(self, database: str, key: bytes) -> ClientIdentity | None:
        """Return the identity of a key's digest, None if its statements may not run."""
        known = self._configuration
        if known is None or known.tenants is None:
            return ClientIdentity()
        route = known.routes.get(database)
        return known.tenants.identify(key, route is not None and route.takes_anybody)

    def is_key_valid(self, database: str, identity: ClientIdentity) -> bool:
        """Return whether a key is still the same tenant's as when its session opened."""
        return self._key_check.is_same_identity(identity, self.identify(database, identity.key))

    def admits(self, database: str, identity: ClientIdentity, version: int) -> bool:
        """See :meth:`rowanrail.gateway.relay.serving.HolderHost.admits`."""
        if version > self.version:
            return True  # it was checked against a newer configuration than the one here
        return self.is_key_valid(database, identity)

    def deny_withdrawn(self, sessions: list[Session]) -> None:
        """End the sessions whose key is no longer what it was when they opened."""
        routes = self._configuration.routes if self._configuration else {}
        for session in sessions:
            if session.database not in routes:
                continue  # its next statement learns that there is no route
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
        """Count an operation of a session's tenant, or return why it may not begin now."""
        urgency = self._urgency(session)
        over = self._quota.admit(session.identity.tenant, urgency)
        if over is None:
            return None
        self._over_limit += 1
        retry_after_ms = limit_retry_after_ms(self._over_limit, over.retry_after)
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
        known = self._configuration
        route = known.routes.get(session.database) if known is not None else None
        return UNKNOWN_URGENCY if route is None else route.priority

    # Clients that retry

    def note_rejected(self, session: Session, rejection: Rejection | None) -> None:
        """Remember that a session's client was rejected, and when it was told to retry."""
        if rejection is None:
            self._remember(session, 0.0)
            return
        cause, urgency = rejection.cause, rejection.urgency
        self._note_rejection(session, cause, urgency, rejection.return_in)

    def _note_rejection(
        self, session: Session, cause: str, urgency: int, retry_after_ms: float
    ) -> None:
        self._remember(session, retry_after_ms)
        self.on_rejection(cause, urgency, retry_after_ms)

    def _remember(self, session: Session, retry_after_ms: float) -> None:
        self._retrying_clients.note(_label(session), retry_after_ms, session.values.rejections + 1)

    def note_return(self, session: Session) -> None:
        """See :meth:`rowanrail.gateway.sessions.session.SessionAccess.note_return`."""
        times = self._retrying_clients.claim(_label(session))
        session.values.rejections = times
        session.values.is_retrying = times >= GOES_FIRST_AFTER

    def note_not_run(self, session: Session) -> None:
        """Count an operation no longer: nothing of it reached a member."""
        self._quota.refund(session.identity.tenant)


def _label(session: Session) -> Label:
    identity = session.identity
    return client_label(identity.tenant, session.database, identity.key, session.label)
