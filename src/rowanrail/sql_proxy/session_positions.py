"""What a session has seen of each group, and the token that carries it.

For sessions. Owns their positions by group, which only grow; relies on the group's services for
what a read must see.
"""

from rowanrail.kernel.errors import InvalidRequestError
from rowanrail.model.position import ORIGIN, Position
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.services import GroupServices
from rowanrail.sql_proxy.token import decode_token, encode_token


class SessionPositions:
    """Positions by group; they only grow."""

    def __init__(self) -> None:
        self._positions: dict[str, Position] = {}

    def token(self) -> str:
        """Return the token that carries the positions to another connection."""
        return encode_token(self._positions)

    def merge_token(self, token: str) -> None:
        """See at least what ``token`` stands for.

        :raises InvalidRequestError: if the token is damaged.
        """
        decoded = decode_token(token)
        positions = decoded.value_or(None)
        if positions is None:
            raise InvalidRequestError(f"session token: {decoded.failure()}", step="token")
        for group, position in positions.items():
            self._advance(group, position)

    def record_write(self, group: str, result: StatementResult) -> None:
        """Note the position of a write."""
        if result.position is not None:
            self._advance(group, result.position)

    async def floor(self, services: GroupServices, deadline: float) -> Position:
        """Return what a read that begins now must see; from now on the session keeps to it.

        :raises NotRunError: if the group's members can't be asked in time.
        """
        name = services.spec.name
        floor = await services.floor(self._positions.get(name), deadline)
        self._advance(name, floor)
        return floor

    def _advance(self, group: str, position: Position) -> None:
        self._positions[group] = max(self._positions.get(group, ORIGIN), position)
