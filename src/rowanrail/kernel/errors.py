"""The error hierarchy.

Every error carries the step and the peer at which it arose. For errors that reach a client, the
class tells whether the request was not run, may have run or was invalid.
"""


class RowanrailError(Exception):
    """Base class of all errors of the product.

    :param step: operation that failed, for example ``connect`` or ``commit``.
    :param peer: the other end, for example a member's name; empty if none.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        prefix = " ".join(part for part in (self.step, self.peer and f"[{self.peer}]") if part)
        return f"{prefix}: {self.message}" if prefix else self.message


class SettingsError(RowanrailError):
    """Invalid settings or configuration; ``problems`` lists everything that is wrong."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems), step="settings")
        self.problems = problems


class StorageError(RowanrailError):
    """The data folder can't be read or written."""


class TransportError(RowanrailError):
    """A message between the system's processes was not delivered or not answered in time."""


class CallerError(RowanrailError):
    """Base class of the errors that a client of the proxy can receive."""


class NotRunError(CallerError):
    """The request was not run and will not be run later.

    :param retry_after_seconds: delay before a retry; 0 if a retry won't help.
    """

    def __init__(
        self, message: str, *, retry_after_seconds: float = 0.0, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_seconds = retry_after_seconds


class InvalidRequestError(NotRunError):
    """The request was not run because of its content; a retry won't help."""


class UnknownDatabaseError(InvalidRequestError):
    """No group serves the requested database."""


class RequestConflictError(InvalidRequestError):
    """The request id was already used for a different request, or has expired."""


class OutcomeUnknownError(CallerError):
    """The request may or may not have run."""


class BackendRefusedError(CallerError):
    """The back end returned an error; ``code`` is the back end's error code."""

    def __init__(
        self, code: int, message: str, *, sqlstate: str = "HY000", step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.sqlstate = sqlstate


class BackendConnectError(RowanrailError):
    """A back-end connection could not be opened; no request was sent."""


class BackendLostError(RowanrailError):
    """A back-end connection failed or timed out after a request was sent."""
