"""Replicated state machine: the configuration, its history and the outcomes of changes."""

from collections import deque

import msgspec

from rowanrail.config.model import Configuration, VersionedConfiguration
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.consensus.state_machine import StateMachine
from rowanrail.sql_control.changes import change_verdict, outcome_of_resend
from rowanrail.sql_control.delta import apply_delta, is_empty
from rowanrail.sql_control.messages import ChangeCommand, Outcome, Revision, Verdict
from rowanrail.sql_control.policies import ExpectedVersion

MAXIMUM_RECORDED_OUTCOMES = 10_000  # changes for which a resend gets the first outcome
MAXIMUM_REVISIONS = 1_000  # entries of the history
# Configurations that can be rolled back to, and from which proxies can get a delta.
MAXIMUM_EARLIER_CONFIGURATIONS = 50


class RecordedOutcome(msgspec.Struct, frozen=True):
    """Outcome of a change and digest of its request."""

    digest: str
    outcome: Outcome


class ConfigurationSnapshot(msgspec.Struct, frozen=True):
    """State as it is stored in a snapshot."""

    current: VersionedConfiguration
    earlier: list[VersionedConfiguration]
    history: list[Revision]
    outcomes: dict[str, RecordedOutcome]


class ConfigurationState(StateMachine):
    """Configuration, history and outcomes of changes, as functions of the log alone."""

    def __init__(self, expected_version: ExpectedVersion) -> None:
        self._expected_version = expected_version
        self.current = VersionedConfiguration()
        self.history: deque[Revision] = deque(maxlen=MAXIMUM_REVISIONS)
        self.earlier: deque[VersionedConfiguration] = deque(maxlen=MAXIMUM_EARLIER_CONFIGURATIONS)
        self._outcomes: dict[str, RecordedOutcome] = {}

    def recorded_outcome(self, change_id: str, digest: str) -> Outcome | None:
        """Return the outcome of an earlier change with this id, or None.

        If that change had another digest, the outcome is a reused id.
        """
        known = self._outcomes.get(change_id)
        if known is None:
            return None
        return outcome_of_resend(known.digest, known.outcome, digest)

    def configuration_at(self, version: int) -> Configuration | None:
        """Return the configuration at ``version``, or None if it is no longer kept."""
        for candidate in (self.current, *self.earlier):
            if candidate.version == version:
                return candidate.configuration
        return None

    def apply(self, entry: Entry) -> object:
        """Apply a configuration change and return its :class:`Outcome`; None for other entries.

        See :meth:`StateMachine.apply`.
        """
        if entry.kind is not EntryKind.COMMAND:
            return None
        return self._apply_change(msgspec.msgpack.decode(entry.data, type=ChangeCommand))

    def _apply_change(self, command: ChangeCommand) -> Outcome:
        known = self.recorded_outcome(command.change_id, command.digest)
        if known is not None:
            return known
        outcome = self._decide(command)
        if outcome.verdict is not Verdict.REBASE:
            self._outcomes[command.change_id] = RecordedOutcome(command.digest, outcome)
            if len(self._outcomes) > MAXIMUM_RECORDED_OUTCOMES:
                del self._outcomes[next(iter(self._outcomes))]
        return outcome

    def _decide(self, command: ChangeCommand) -> Outcome:
        is_current = self._expected_version.matches(command.base_version, self.current.version)
        verdict = change_verdict(is_current, command.explicit, is_empty(command.delta))
        if verdict is Verdict.ACCEPTED:
            self._accept_change(command)
        is_conflict = verdict is Verdict.CONFLICT
        winner = self._conflicting_change(command.base_version) if is_conflict else ""
        return Outcome(verdict, self.current.version, winner)

    def _accept_change(self, command: ChangeCommand) -> None:
        self.earlier.append(self.current)
        self.current = apply_delta(self.current, command.delta)
        self.history.append(
            Revision(
                self.current.version,
                command.change_id,
                command.author,
                command.time,
                command.changes,
            )
        )

    def _conflicting_change(self, base_version: int) -> str:
        for revision in self.history:
            if revision.version == base_version + 1:
                return f"{revision.author} (change {revision.change_id})"
        return ""

    def snapshot(self) -> bytes:
        """Return the state as an encoded :class:`ConfigurationSnapshot`.

        See :meth:`StateMachine.snapshot`.
        """
        state = ConfigurationSnapshot(
            self.current, list(self.earlier), list(self.history), dict(self._outcomes)
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded snapshot; empty data leave it unchanged.

        See :meth:`StateMachine.restore`.
        """
        if not data:
            return
        state = msgspec.msgpack.decode(data, type=ConfigurationSnapshot)
        self.current = state.current
        self.earlier = deque(state.earlier, maxlen=MAXIMUM_EARLIER_CONFIGURATIONS)
        self.history = deque(state.history, maxlen=MAXIMUM_REVISIONS)
        self._outcomes = dict(state.outcomes)
