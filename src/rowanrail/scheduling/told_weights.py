"""What other gateways told of members' weights: a hint that ages and never binds.

Each tells what its own statements met, never what it was told, so that nothing goes round. A member
that one gateway can't reach may serve another well: a word of others takes a part of a weight only,
and for a short while.
"""

import math
from dataclasses import dataclass

__all__ = ["ToldWeights"]

# Of what a word takes away. With all of it a gateway that is cut off would keep others from
# members that serve them; with this part a near member is left for one that is as near.
REPORTED_TRUST = 0.7
# ms; after it a word has shrunk to 1/e. A gateway that goes on to see trouble tells it again with
# its next answer.
REPORTED_DECAY_MS = 2000.0


@dataclass(frozen=True, slots=True)
class _Word:
    weight: float
    heard_at: float


class ToldWeights:
    """The lowest weight told of each member; times in milliseconds.

    Examples
    --------
    >>> told = ToldWeights()
    >>> told.note({"m1": 0.05}, now=0.0)
    >>> round(told.factor("m1", now=0.0), 3), round(told.factor("m1", now=9000.0), 1)
    (0.335, 1.0)
    >>> told.factor("m2", now=0.0)
    1.0
    """

    def __init__(self) -> None:
        self._words: dict[str, _Word] = {}

    def note(self, weights: dict[str, float], now: float) -> None:
        """Take what a gateway told of the members that it doubts."""
        for instance, weight in weights.items():
            if weight <= self.factor(instance, now):
                self._words[instance] = _Word(weight, now)

    def factor(self, instance: str, now: float) -> float:
        """Return by what a member's own weight is multiplied."""
        word = self._words.get(instance)
        if word is None:
            return 1.0
        fading = math.exp((word.heard_at - now) / REPORTED_DECAY_MS)
        return 1.0 - REPORTED_TRUST * (1.0 - word.weight) * fading

    def keep(self, instances: set[str]) -> None:
        """Forget all other members."""
        self._words = {name: word for name, word in self._words.items() if name in instances}
