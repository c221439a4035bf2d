"""Exceptions of jasminewalk with their result codes, messages and exit codes."""

from jasminewalk.generated_codes import RESULTS, Code, Ran, Result

__all__ = [
    "BadConfigurationError",
    "BadMessageError",
    "BadRequestError",
    "BadSettingsError",
    "ConfigurationConflictError",
    "GrantLapsedError",
    "JasminewalkError",
    "LogUnavailableError",
    "NotInForceError",
    "OrderRefusedError",
    "RefusedError",
    "StaleFencingNumberError",
    "UnauthenticatedPeerError",
    "UnknownRequestError",
    "UnreachableError",
]


class JasminewalkError(Exception):
    """Base class for all errors that carry a result code.

    :param detail: description of the error, with what was found and what is allowed;
        defaults to the message of the code.
    :param code: result code; defaults to that of the class.
    :param ran: whether the request ran; defaults to that of the code.
    :param retry_after_s: time in seconds after which to retry; 0 if not specified.
    """

    code: Code = Code.INTERNAL_ERROR

    def __init__(
        self,
        detail: str = "",
        *,
        code: Code | None = None,
        ran: Ran | None = None,
        retry_after_s: float = 0.0,
    ) -> None:
        if code is not None:
            self.code = code
        self.detail = detail or self.result.message
        self.ran: Ran = ran or self.result.ran
        self.retry_after_s = retry_after_s
        super().__init__(self.detail)

    @property
    def result(self) -> Result:
        """Row of the result code in the table ``RESULTS``."""
        return RESULTS[self.code]

    @property
    def exit_code(self) -> int:
        """Exit code of the command line after this error."""
        return self.result.exit_code

    def __str__(self) -> str:
        return f"{self.code.value} {self.code.name.lower()}: {self.detail}"


class BadRequestError(JasminewalkError):
    """The request of a caller is malformed."""

    code = Code.BAD_FIELD


class RefusedError(JasminewalkError):
    """A request was refused or abandoned; ``ran`` states whether it ran."""

    code = Code.NO_ENDPOINT


class BadMessageError(JasminewalkError):
    """A message from a peer cannot be decoded."""

    code = Code.BAD_MESSAGE


class UnauthenticatedPeerError(JasminewalkError):
    """A message or request was not signed with the shared key."""

    code = Code.UNAUTHENTICATED_PEER


class BadSettingsError(JasminewalkError):
    """A settings file is not valid."""

    code = Code.BAD_SETTINGS


class BadConfigurationError(JasminewalkError):
    """A configuration file is not valid."""

    code = Code.BAD_CONFIGURATION


class ConfigurationConflictError(JasminewalkError):
    """Another change to the same subject was accepted first."""

    code = Code.CONFIGURATION_CONFLICT


class NotInForceError(JasminewalkError):
    """A configuration is not yet in force on every live instance."""

    code = Code.NOT_IN_FORCE


class UnreachableError(JasminewalkError):
    """A service or instance that a command needs cannot be reached."""

    code = Code.UNREACHABLE


class UnknownRequestError(JasminewalkError):
    """No entry has a trace of the request, or no log line matches the search."""

    code = Code.UNKNOWN_REQUEST


class LogUnavailableError(JasminewalkError):
    """The log did not respond; an append may still have taken effect."""

    code = Code.LOG_UNAVAILABLE


class StaleFencingNumberError(JasminewalkError):
    """An engine refused an order because its fencing number is out of date."""

    code = Code.STALE_FENCING_NUMBER


class OrderRefusedError(JasminewalkError):
    """An engine refused an order."""

    code = Code.ORDER_REFUSED


class GrantLapsedError(JasminewalkError):
    """A grant expired before its order could be sent."""

    code = Code.GRANT_LAPSED
