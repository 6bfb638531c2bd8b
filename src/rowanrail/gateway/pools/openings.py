"""Connections to one member that are being opened, and what earlier openings have shown."""

from collections.abc import Callable, Iterator

from rowanrail.kernel.clock import Scheduler
from rowanrail.members.channel import Channel, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.statements import Answer

__all__ = ["Openings"]

OPENING_AT_ONCE = 2  # each takes a slot of the member for a while
CROWDED_SECONDS = 0.5  # without new connections after a member had none left
INITIAL_OPENING_SECONDS = 0.03  # 12 ms at the member and two ways there and back
LONGEST_OPENING_SECONDS = 0.1  # a slow opening is no reason to let everybody wait for long
OPENING_WEIGHT = 0.1  # of the newest opening in the average, about the last ten count


class Openings:
    """Openings of one pool."""

    def __init__(self, driver: MemberDriver, clock: Scheduler) -> None:
        self._driver = driver
        self._clock = clock
        self._channels: set[Channel] = set()
        self._seconds = INITIAL_OPENING_SECONDS
        self._crowded_until = 0.0
        self._crowded_limit = 0

    def __len__(self) -> int:
        return len(self._channels)

    def __iter__(self) -> Iterator[Channel]:
        return iter(self._channels)

    @property
    def seconds(self) -> float:
        """About how long one takes."""
        return self._seconds

    @property
    def is_full(self) -> bool:
        """Whether no more may be begun at the same time."""
        return len(self._channels) >= OPENING_AT_ONCE

    def of(self, tenant: str) -> int:
        """Return how many are for a tenant."""
        return sum(channel.tenant == tenant for channel in self._channels)

    def allowed(self, limit: int) -> int:
        """Return how many connections may be open, of a limit, after what the member said."""
        if self._clock.time() < self._crowded_until:
            return min(limit, self._crowded_limit)
        return limit

    def start(
        self, record: MemberRecord, tenant: str, respond: Callable[[Channel, Answer], None]
    ) -> None:
        """Begin to open one; ``respond`` learns how it ended."""

        def on_open(channel: Channel, answer: Answer) -> None:
            self._channels.discard(channel)
            if answer.refusal is None:
                self._note(self._clock.time() - channel.last_used)
            respond(channel, answer)

        channel = Channel(record.address, record.instance, on_open, tenant)
        channel.last_used = self._clock.time()
        self._channels.add(channel)
        self._driver.open(record.address, record.service, record.instance, channel)

    def _note(self, seconds: float) -> None:
        share = OPENING_WEIGHT * (seconds - self._seconds)
        self._seconds = min(LONGEST_OPENING_SECONDS, self._seconds + share)

    def note_crowded(self, open_count: int) -> None:
        """Note that the member has no more connections than those that are open."""
        self._crowded_until = self._clock.time() + CROWDED_SECONDS
        self._crowded_limit = max(1, open_count)

    def close(self) -> None:
        """Close all at once."""
        for channel in list(self._channels):
            channel.close()
