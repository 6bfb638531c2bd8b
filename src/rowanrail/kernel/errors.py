"""The error hierarchy.

For the whole product. Every error carries the step and the peer at which it arose; the class says
what a caller may rely on: not run, unknown, or its own mistake.
"""


class RowanrailError(Exception):
    """Base of all errors of the product.

    :param step: what was being done, for example ``connect`` or ``commit``.
    :param peer: the other party, for example a member's name; empty if none.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        place = " ".join(part for part in (self.step, self.peer and f"[{self.peer}]") if part)
        return f"{place}: {self.message}" if place else self.message


class SettingsError(RowanrailError):
    """Settings or configuration that can't be used; ``problems`` lists all of them."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems), step="settings")
        self.problems = problems


class StorageError(RowanrailError):
    """The data folder can't be read or written."""


class TransportError(RowanrailError):
    """A message between our own processes could not be delivered or answered in time."""


class CallerError(RowanrailError):
    """Base of the errors that a caller of the proxy can receive."""


class NotRunError(CallerError):
    """The request did not run and never will.

    :param retry_after_seconds: when to come back; 0 if repeating will not help.
    """

    def __init__(
        self, message: str, *, retry_after_seconds: float = 0.0, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_seconds = retry_after_seconds


class InvalidRequestError(NotRunError):
    """The request did not run because of its own content; repeating will not help."""


class UnknownDatabaseError(InvalidRequestError):
    """No group serves the database that the request names."""


class RequestConflictError(InvalidRequestError):
    """The request id was used before, for different work, or is past its horizon."""


class OutcomeUnknownError(CallerError):
    """The request may or may not have run."""


class BackendRefusedError(CallerError):
    """The back end ran the request and refused it; ``code`` is the back end's own."""

    def __init__(
        self, code: int, message: str, *, sqlstate: str = "HY000", step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.sqlstate = sqlstate


class BackendConnectError(RowanrailError):
    """A back-end connection could not be opened; nothing was sent."""


class BackendLostError(RowanrailError):
    """A back-end connection broke, or its answer is late, after a request was sent."""
