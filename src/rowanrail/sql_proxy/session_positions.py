"""Positions that a session has observed in each group, and their encoding as a token."""

from rowanrail.kernel.errors import InvalidRequestError
from rowanrail.model.position import ORIGIN, Position
from rowanrail.sql_proxy.backend import StatementResult
from rowanrail.sql_proxy.services import GroupServices
from rowanrail.sql_proxy.token import decode_token, encode_token


class SessionPositions:
    """Positions of one session by group, which never decrease."""

    def __init__(self) -> None:
        self._positions: dict[str, Position] = {}

    def token(self) -> str:
        """Return the positions as a token, for another connection."""
        return encode_token(self._positions)

    def merge_token(self, token: str) -> None:
        """Raise the positions to those in ``token``.

        :raises InvalidRequestError: if the token is damaged.
        """
        decoded = decode_token(token)
        positions = decoded.value_or(None)
        if positions is None:
            raise InvalidRequestError(f"session token: {decoded.failure()}", step="token")
        for group, position in positions.items():
            self._advance(group, position)

    def record_write(self, group: str, result: StatementResult) -> None:
        """Raise the position of a group to that of a write."""
        if result.position is not None:
            self._advance(group, result.position)

    async def floor(self, services: GroupServices, deadline: float) -> Position:
        """Return the floor of a read that begins now, and raise the session's position to it.

        :raises NotRunError: if no majority of the group's members answers in time.
        """
        name = services.spec.name
        floor = await services.floor(self._positions.get(name), deadline)
        self._advance(name, floor)
        return floor

    def _advance(self, group: str, position: Position) -> None:
        self._positions[group] = max(self._positions.get(group, ORIGIN), position)
