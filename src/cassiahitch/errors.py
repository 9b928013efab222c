"""Exceptions with a result code."""

from __future__ import annotations

from cassiahitch.codes import Code, HasRun


class CassiahitchError(Exception):
    """Base of all errors of the system; has a numbered result code."""

    def __init__(self, code: Code, detail: str) -> None:
        """Create the error.

        :param code: the result code.
        :param detail: one line for the caller or the operator, without secrets.
        """
        super().__init__(f'{code.value} {code.name}: {detail}')
        self.code = code
        self.detail = detail


class RequestError(CassiahitchError):
    """Failure of a request."""

    def __init__(
        self,
        code: Code,
        detail: str,
        ran: HasRun,
        retry_after_s: float | None = None,
    ) -> None:
        """Create the error.

        :param code: the result code.
        :param detail: one line for the caller, without secrets.
        :param ran: whether the backend server has run the request.
        :param retry_after_s: delay after which the caller may retry, in seconds; none by default.
        """
        super().__init__(code, detail)
        self.ran = ran
        self.retry_after_s = retry_after_s


class PlatformError(CassiahitchError):
    """A platform service refused a call, failed or sent an invalid response."""


class WireError(CassiahitchError):
    """A connection, frame or datagram between processes of the system is unusable."""


class ResourceError(CassiahitchError):
    """A resource or configuration row was rejected."""


class SettingsError(CassiahitchError):
    """Settings are missing or invalid."""


__all__ = (
    'CassiahitchError',
    'PlatformError',
    'RequestError',
    'ResourceError',
    'SettingsError',
    'WireError',
)
