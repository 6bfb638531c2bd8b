"""Guards of the gateway, as plug-ins of kind ``gateway-guard``.

For the gateway's parts, each of which asks its guard. Each class carries one guarantee, which the
lab takes away to show that its checks find the loss. Relies on the registry for which class is
used.
"""

import msgspec

from rowanrail.gateway.session_context import SessionContext, replay_session
from rowanrail.kernel.registry import Registry, register
from rowanrail.members.channel import Channel
from rowanrail.members.leadership import LeadershipVerifier
from rowanrail.model.statements import Command, Refusal
from rowanrail.tenants.model import ClientIdentity


@register("gateway-guard", "state-replay")
class StateReplay:
    """A connection has exactly the session's values before a statement runs on it."""

    def commands(self, channel: Channel, session: SessionContext) -> list[Command]:
        """Return what must run on the connection first."""
        return replay_session(channel, session)


@register("gateway-guard", "link-outcome")
class LinkOutcome:
    """What was sent to a neighbour whose link was lost may have been run."""

    def refusal(self, may_be_kept: bool) -> Refusal:
        """Return what the client is told.

        Parameters
        ----------
        may_be_kept : bool
            Whether a write on its own, or the commit of one, was under way.
        """
        return Refusal.OUTCOME_UNKNOWN if may_be_kept else Refusal.ABORTED


@register("gateway-guard", "key-check")
class KeyCheck:
    """A session runs statements only while its key is still the same tenant's."""

    def is_same_identity(self, opened: ClientIdentity, known: ClientIdentity | None) -> bool:
        """Return whether a session may go on.

        Parameters
        ----------
        opened : ClientIdentity
            Whose key it was when the session opened.
        known : ClientIdentity or None
            Whose it is by the configuration in force; None for nobody's.
        """
        return known == opened


class GatewayPolicies(msgspec.Struct, frozen=True):
    """The guards that one gateway uses."""

    leadership_proof: LeadershipVerifier
    state_replay: StateReplay
    link_outcome: LinkOutcome
    key_check: KeyCheck

    @classmethod
    def create(cls, registry: Registry) -> "GatewayPolicies":
        """Take the guards that are registered."""
        return cls(
            registry.create("gateway-guard", "leadership-proof"),
            registry.create("gateway-guard", "state-replay"),
            registry.create("gateway-guard", "link-outcome"),
            registry.create("gateway-guard", "key-check"),
        )
