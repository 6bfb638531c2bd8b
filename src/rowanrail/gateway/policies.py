"""Policies of the gateway, as plug-ins of kind ``gateway-guard``.

Each class implements one guarantee. The lab replaces them with permissive versions to show that
its checks detect the violation.
"""

import msgspec

from rowanrail.gateway.session_context import SessionContext, replay_session
from rowanrail.kernel.registry import Registry, register
from rowanrail.members.channel import Channel
from rowanrail.members.leadership import CommitVerifier, LeadershipVerifier
from rowanrail.model.statements import Command, Refusal
from rowanrail.tenants.model import ClientIdentity


@register("gateway-guard", "state-replay")
class StateReplay:
    """Gives a connection exactly the session's values before a statement runs on it."""

    def commands(self, channel: Channel, session: SessionContext) -> list[Command]:
        """Return the commands to run on the connection first."""
        return replay_session(channel, session)


@register("gateway-guard", "link-outcome")
class LinkOutcome:
    """Treats work that was sent over a lost link as possibly done."""

    def refusal(self, may_be_kept: bool) -> Refusal:
        """Return the refusal for the client.

        Parameters
        ----------
        may_be_kept : bool
            Whether an autocommit write, or the commit of a transaction, was in progress.
        """
        return Refusal.OUTCOME_UNKNOWN if may_be_kept else Refusal.ABORTED


@register("gateway-guard", "key-check")
class KeyCheck:
    """Lets a session run statements only while its key belongs to the same tenant."""

    def is_same_identity(self, opened: ClientIdentity, known: ClientIdentity | None) -> bool:
        """Return whether a session's key still has the identity of its start.

        Parameters
        ----------
        opened : ClientIdentity
            Identity of the key when the session opened.
        known : ClientIdentity or None
            Identity of the key in the current configuration; None if unknown.
        """
        return known == opened


class GatewayPolicies(msgspec.Struct, frozen=True):
    """The policies that one gateway uses."""

    leadership_proof: LeadershipVerifier
    commit_confirmation: CommitVerifier
    state_replay: StateReplay
    link_outcome: LinkOutcome
    key_check: KeyCheck

    @classmethod
    def create(cls, registry: Registry) -> "GatewayPolicies":
        """Create the registered policies."""
        return cls(
            registry.create("gateway-guard", "leadership-proof"),
            registry.create("gateway-guard", "commit-confirmation"),
            registry.create("gateway-guard", "state-replay"),
            registry.create("gateway-guard", "link-outcome"),
            registry.create("gateway-guard", "key-check"),
        )
