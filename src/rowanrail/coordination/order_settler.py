"""Makes promotion orders without a known outcome void, and ends the pauses of replicas.

The rules are in :mod:`rowanrail.coordination.promotion_orders`. The orders are in the log, so that
the next leader knows them. Pauses are not: a leader that takes over resumes the replicas of each
service whose commits must be acknowledged by replicas.

While a service has a primary that answers, its orders are made void by a newer one for that
primary, which changes nothing but the fencing token. Meanwhile only those replicas receive that
keep each acknowledged commit in the log of a member that may still take over.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial

from rowanrail.consensus.node import ConsensusNode
from rowanrail.coordination.commands import IntendPromotion, Promotion, SettleOrders
from rowanrail.coordination.events import (
    ORDERS_NOT_SETTLED,
    ORDERS_OUTSTANDING,
    ORDERS_SETTLED,
    REPLICAS_RESUMED,
)
from rowanrail.coordination.feature_level import ORDERS_LEVEL
from rowanrail.coordination.promotion_orders import (
    PromotionOrder,
    next_order_target,
    receiving_replicas,
)
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.status_queries import StatusQueries, StatusReply
from rowanrail.kernel.catalogue import Event
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.errors import RowanrailError
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Command, CommandKind

__all__ = ["REPEAT_REASON", "OrderSettler", "PromotionAttempt"]

# Between the answer to an order and its effect; the slowest takes 1 s. An older order that was
# carried out just before that answer takes effect within this time, too.
PROMOTION_EFFECT_SECONDS = 1.2
ANSWER_SECONDS = 0.4  # after which an order's outcome may stay unknown; ten round trips
ORDER_RETRY_SECONDS = 2.0  # between two orders that make earlier ones void
STATUS_RETRY_SECONDS = 0.3  # between two steps for a service
PAUSE_RETRY_SECONDS = 2.0  # until replicas are resumed again that didn't answer
Step = Callable[[], Coroutine[None, None, None]]
REPEAT_REASON = "an earlier order may still be carried out"


@dataclass(slots=True)
class PromotionAttempt:
    """The last order that this leader sent for a service.

    Parameters
    ----------
    accepted : bool or None
        Whether the platform accepted it; None without an answer.
    ended_at : float or None
        When it was answered, or given up; None while an answer is awaited.
    """

    order: PromotionOrder
    started_at: float
    accepted: bool | None = None
    ended_at: float | None = None


@dataclass(frozen=True, slots=True)
class _Primary:
    """The member that leads, and the newest term that a member of its service knows."""

    instance: str
    newest_term: int


class OrderSettler:
    """Settles the orders and pauses of services whose primary answers, one step at a time.

    Parameters
    ----------
    node : ConsensusNode
        Confirms that this node leads before replicas are paused.
    service : CoordinationService
        Holds the replicated state.
    queries : StatusQueries
        Sends commands to members.
    members : callable
        Returns the members of a service to which something may be sent.
    may_ask : callable
        Returns whether the members of a service may be asked for their statuses now.
    acknowledging_replicas : callable
        Returns how many replicas of a service must hold a commit before it is acknowledged.
    order : callable
        Sends an order that is in the log, and waits for the answer: service, promotion.
    decisions : DecisionLog
        Writes the log lines.
    now : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        node: ConsensusNode,
        service: CoordinationService,
        queries: StatusQueries,
        members: Callable[[str], list[MemberRecord]],
        may_ask: Callable[[str], bool],
        acknowledging_replicas: Callable[[str], int],
        order: Callable[[str, Promotion], Coroutine[None, None, None]],
        decisions: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._node = node
        self._service = service
        self._queries = queries
        self._members = members
        self._may_ask = may_ask
        self._acknowledging_replicas = acknowledging_replicas
        self._order = order
        self._decisions = decisions
        self._now = now
        self._tasks: set[asyncio.Task[None]] = set()
        self.reset()

    def reset(self) -> None:
        """Forget all that only a leader knows, as this node no longer leads."""
        for task in self._tasks:
            task.cancel()
        self._void: set[int] = set()  # fencing tokens of orders that were not sent, or refused
        self._order_known_at: dict[int, float] = {}  # by fencing token
        self._paused_at: dict[str, dict[str, float]] = {}  # by service and member
        self._adopted: set[str] = set()  # services whose pauses of earlier leaders are known
        self._retry_at: dict[str, float] = {}
        self._ordered_at: dict[str, float] = {}  # the last order that was to make others void
        self._held: set[int] = set()  # fencing tokens of orders since which some replicas wait
        self._logged: dict[str, tuple[object, ...]] = {}

    # What is known

    def orders(self, service: str) -> list[PromotionOrder]:
        """Return a service's orders that may still be carried out, the newest one last."""
        known = self._service.state.orders.of_service(service)
        return [order for order in known if order.token not in self._void]

    def note_void(self, token: int) -> None:
        """Record that an order in the log was never sent, or was refused."""
        self._void.add(token)

    @property
    def oldest_order_seconds(self) -> float:
        """For how long this leader has known the oldest order without a known outcome."""
        tokens = {order.token for name in self._service.state.orders for order in self.orders(name)}
        known = [at for token, at in self._order_known_at.items() if token in tokens]
        return self._now() - min(known) if known else 0.0

    @property
    def oldest_pause_seconds(self) -> float:
        """For how long the replica has been paused that this leader paused first."""
        known = [at for paused in self._paused_at.values() for at in paused.values()]
        return self._now() - min(known) if known else 0.0

    # Pauses

    async def pause(
        self, service: str, replicas: list[MemberRecord], term: int
    ) -> dict[str, StatusReply]:
        """Stop replicas from receiving, until :meth:`resume`; return the answers.

        Raises
        ------
        NotLeaderError
            If this node doesn't lead any more, so that it could not end the pause.
        """
        await self._node.read_barrier()
        paused = self._paused_at.setdefault(service, {})
        for record in replicas:
            paused.setdefault(record.instance, self._now())
        return await self._queries.query(replicas, Command(CommandKind.PAUSE, str(term)))

    async def resume(self, service: str, primary: str) -> None:
        """Let those replicas receive that may while the service's orders are not settled.

        Parameters
        ----------
        primary : str
            The member that leads, empty if none is known to.
        """
        replicas = [record for record in self._members(service) if record.instance != primary]
        allowed = self._receiving(service, [record.instance for record in replicas], primary)
        resumed = [record for record in replicas if record.instance in allowed]
        answers = await self._queries.query(resumed, Command(CommandKind.RESUME))
        paused = self._paused_at.get(service, {})
        ended = [instance for instance in answers if paused.pop(instance, None) is not None]
        present = {record.instance for record in self._members(service)}
        for instance in set(paused) - present:
            del paused[instance]  # a member that is gone; a new life isn't paused
        if not paused:
            self._paused_at.pop(service, None)
        if ended:
            self._decisions.note(REPLICAS_RESUMED, service=service, replicas=sorted(ended))

    def _receiving(self, service: str, replicas: list[str], primary: str) -> set[str]:
        needed = self._acknowledging_replicas(service)
        orders = self.orders(service)
        if not orders or not needed:
            return set(replicas)
        return receiving_replicas(replicas, orders, primary, needed)

    def _adopt_pauses(self, service: str) -> None:
        """Assume that an earlier leader has paused all replicas that may be paused at all."""
        if service in self._adopted:
            return
        self._adopted.add(service)
        if self._acknowledging_replicas(service):
            paused = self._paused_at.setdefault(service, {})
            for record in self._members(service):
                if not record.primary:
                    paused.setdefault(record.instance, self._now())

    def watch(self, service: str, attempt: PromotionAttempt) -> None:
        """Let the member receive that an order names, once its answer is overdue.

        The primary may return before the order's outcome is known, and be acknowledged by a replica
        whose pause has ended, as it is new or has started again.
        """
        if self._acknowledging_replicas(service):
            self._begin(self._resume_if_unanswered(service, attempt))

    async def _resume_if_unanswered(self, service: str, attempt: PromotionAttempt) -> None:
        await asyncio.sleep(ANSWER_SECONDS)
        if attempt.ended_at is None:
            await self.resume(service, "")

    def _begin(self, work: Coroutine[None, None, None]) -> None:
        """Run work that is not waited for, until this node no longer leads."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Settling

    def is_settled(self, service: str) -> bool:
        """Return whether no order of a service may still be carried out, and nothing is paused."""
        self._adopt_pauses(service)
        return not self.orders(service) and service not in self._paused_at

    def next_step(
        self, service: str, attempt: PromotionAttempt | None
    ) -> Coroutine[None, None, None] | None:
        """Return the next step of settling a service whose primary answers, None if none is due.

        Parameters
        ----------
        attempt : PromotionAttempt or None
            The last order that this leader sent for the service.
        """
        orders = self.orders(service)
        for order in orders:
            self._order_known_at.setdefault(order.token, self._now())
        if self._now() < self._retry_at.get(service, 0.0):
            return None
        step = self._due_step(service, orders, attempt)
        if step is None or not self._may_ask(service):
            return None
        self._retry_at[service] = self._now() + STATUS_RETRY_SECONDS
        return self._run(service, step)

    def _due_step(
        self, service: str, orders: list[PromotionOrder], attempt: PromotionAttempt | None
    ) -> Step | None:
        if not orders:
            return partial(self._end_pauses, service)
        if attempt is None or attempt.order != orders[-1]:
            return self._order_step(service, orders)
        if attempt.ended_at is None:
            return None  # its answer is awaited
        if not attempt.accepted:
            return self._order_step(service, orders)
        if self._now() - attempt.ended_at >= PROMOTION_EFFECT_SECONDS:
            return partial(self._confirm, service, orders)
        is_held = attempt.order.token in self._held
        return None if is_held else partial(self._hold, service, attempt.order)

    def _order_step(self, service: str, orders: list[PromotionOrder]) -> Step | None:
        """Return the step that sends a newer order, None if the last one was sent just before."""
        ordered_at = self._ordered_at.get(service)
        if ordered_at is not None and self._now() - ordered_at < ORDER_RETRY_SECONDS:
            return None
        return partial(self._make_void, service, orders)

    async def _run(self, service: str, step: Step) -> None:
        try:
            await step()
        except RowanrailError as error:
            if self._is_new(service, ORDERS_NOT_SETTLED, str(error)):
                self._decisions.note(ORDERS_NOT_SETTLED, service=service, reason=str(error))

    async def _end_pauses(self, service: str) -> None:
        found = await self._find_primary(service)
        if found is None:
            return
        await self.resume(service, found.instance)
        if service in self._paused_at:
            self._retry_at[service] = self._now() + PAUSE_RETRY_SECONDS

    async def _find_primary(self, service: str) -> "_Primary | None":
        """Return the only member that leads by its status, None if there is none or several."""
        statuses = await self._queries.query(self._members(service), Command(CommandKind.STATUS))
        leading = [instance for instance, status in statuses.items() if status.leads]
        if len(leading) != 1:
            return None
        return _Primary(leading[0], max(status.term for status in statuses.values()))

    async def _make_void(self, service: str, orders: list[PromotionOrder]) -> None:
        """Send a newer order, and keep acknowledged commits in the logs that orders name."""
        primary = await self._find_primary(service)
        if primary is None:
            return
        await self._restrict_replicas(service, primary)
        target = next_order_target(orders, primary.instance)
        promotion = await self._service.propose(IntendPromotion(service, target, REPEAT_REASON))
        assert isinstance(promotion, Promotion)
        if not self._node.raft.is_established_leader:
            return
        self._ordered_at[service] = self._now()
        # Not awaited: the primary may be lost, and replaced, before the answer comes.
        self._begin(self._order(service, promotion))
        await asyncio.sleep(0)  # the order begins before the next check

    async def _hold(self, service: str, order: PromotionOrder) -> None:
        """Choose the replicas that receive after an order, until no older one can take effect."""
        primary = await self._find_primary(service)
        if primary is not None and primary.instance == order.instance:
            await self._restrict_replicas(service, primary)
            self._held.add(order.token)

    async def _restrict_replicas(self, service: str, primary: "_Primary") -> None:
        """Let only those replicas receive that keep acknowledged commits in the logs named."""
        replicas = [r for r in self._members(service) if r.instance != primary.instance]
        names = [record.instance for record in replicas]
        allowed = self._receiving(service, names, primary.instance)
        held = [record for record in replicas if record.instance not in allowed]
        if held:
            await self.pause(service, held, primary.newest_term + 1)
        if self._acknowledging_replicas(service):
            await self.resume(service, primary.instance)
        receiving = sorted(allowed)
        if self._is_new(service, ORDERS_OUTSTANDING, receiving):
            orders = {order.instance: order.token for order in self.orders(service)}
            self._decisions.note(
                ORDERS_OUTSTANDING, service=service, orders=orders, receiving=receiving
            )

    def _is_new(self, service: str, event: Event, content: object) -> bool:
        """Return whether the last line on a service was another one, and remember this one."""
        is_new = self._logged.get(service) != (event.number, content)
        self._logged[service] = (event.number, content)
        return is_new

    async def _confirm(self, service: str, orders: list[PromotionOrder]) -> None:
        """Settle the orders if the member leads that the newest one names, which was accepted."""
        newest = orders[-1]
        primary = await self._find_primary(service)
        if primary is None:
            return
        if primary.instance != newest.instance:
            await self._make_void(service, orders)
            return
        await self._settle(service, newest)
        await self.resume(service, newest.instance)

    async def _settle(self, service: str, newest: PromotionOrder) -> None:
        if self._service.state.feature_level >= ORDERS_LEVEL:
            await self._service.propose(SettleOrders(service, newest.token))
        else:
            self._void.update(order.token for order in self.orders(service))
        self._logged.pop(service, None)
        self._decisions.note(
            ORDERS_SETTLED, service=service, instance=newest.instance, token=newest.token
        )
