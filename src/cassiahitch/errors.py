"""Exceptions that carry a result code."""

from __future__ import annotations

from cassiahitch.codes import Code, HasRun


class CassiahitchError(Exception):
    """An error with a numbered code."""

    def __init__(self, code: Code, detail: str) -> None:
        """Create the error.

        :param code: the result code.
        :param detail: one line for the caller or the operator, without secrets.
        """
        super().__init__(f'{code.value} {code.name}: {detail}')
        self.code = code
        self.detail = detail


class RequestError(CassiahitchError):
    """A request that ends without success."""

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
        :param ran: whether the request has run.
        :param retry_after_s: seconds after which the caller may send it again.
        """
        super().__init__(code, detail)
        self.ran = ran
        self.retry_after_s = retry_after_s


class PlatformError(CassiahitchError):
    """A platform service that refused, failed or answered wrongly."""


class WireError(CassiahitchError):
    """A connection or frame between own processes that cannot be used."""


class ResourceError(CassiahitchError):
    """A resource that cannot be accepted."""


class SettingsError(CassiahitchError):
    """Settings that cannot be used."""


__all__ = (
    'CassiahitchError',
    'PlatformError',
    'RequestError',
    'ResourceError',
    'SettingsError',
    'WireError',
)
