"""Retention sweep of claim rows, which also lists keys whose outcome is unknown."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, assert_never

from cassiahitch.codes import Code, HasRun
from cassiahitch.errors import PlatformError
from cassiahitch.ledger.rows import TABLE, ClaimRow, RowState, parse_row
from cassiahitch.stores.api import Condition, Row, Write

if TYPE_CHECKING:
    from random import Random


@dataclass(frozen=True, slots=True)
class SweepLimits:
    """Intervals and sizes of the sweep, which bound its load on the table service.

    :param retention_s: age at which a row is removed.
    :param page_rows: rows per scan; also the most rows that one transaction removes.
    :param interval_s: mean time between two scans, jittered by up to half of it either way.
    :param pause_s: mean time between two passes over the table, jittered likewise.
    :param unknown_after_s: age at which a claim without an outcome is listed.
    :param max_listed: largest number of keys that are listed.
    """

    retention_s: float = 86_400
    page_rows: int = 200
    interval_s: float = 0.5
    pause_s: float = 60
    unknown_after_s: float = 660
    max_listed: int = 1000


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """A caller's key that may or may not have run; listed for audits.

    ``created`` is in seconds since the Unix epoch.
    """

    key: str
    organisation: str
    agent: str
    incarnation: int
    claim_id: str
    created: float


@dataclass(frozen=True, slots=True)
class SweepTick:
    """Timer message; ``wall_s`` is in seconds since the Unix epoch."""

    wall_s: float


@dataclass(frozen=True, slots=True)
class PageScanned:
    """The rows of a scan, sorted by key."""

    rows: tuple[Row, ...]
    wall_s: float


@dataclass(frozen=True, slots=True)
class PageFailed:
    """A scan of the table service failed."""


@dataclass(frozen=True, slots=True)
class RemovalEnded:
    """A transaction ended; rows that it did not remove are inspected in the next pass."""

    committed: bool


SweepMessage = SweepTick | PageScanned | PageFailed | RemovalEnded


@dataclass(frozen=True, slots=True)
class ScanPage:
    """Read the rows after a key; the reply is ``PageScanned`` or ``PageFailed``."""

    table: str
    after: str
    limit: int


@dataclass(frozen=True, slots=True)
class RemoveRows:
    """Commit one transaction; the reply is ``RemovalEnded``."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


SweepAction = ScanPage | RemoveRows


class SweepPhase(StrEnum):
    """What the sweep waits for."""

    #: The time of the next scan.
    pause = 'pause'
    #: The reply to a scan.
    scan = 'scan'
    #: The reply to a removal.
    removal = 'removal'


class RetentionSweep:
    """Scans the claim rows in passes and removes old ones, with one call at a time."""

    def __init__(self, rng: Random, limits: SweepLimits | None = None) -> None:
        """Create a sweep that has not started its first pass.

        :param rng: source of jitter.
        :param limits: intervals and sizes.
        """
        self.rng = rng
        self.limits = limits or SweepLimits()
        self.phase = SweepPhase.pause
        self.cursor = ''
        self.next_at: float = 0
        self.rows_in_removal = 0
        self.removed = 0
        self.corrupt_rows = 0
        self.found_unknown_keys: dict[str, UnknownKey] = {}
        self.unknown_keys: tuple[UnknownKey, ...] = ()

    def handle(self, message: SweepMessage, now: float) -> tuple[SweepAction, ...]:
        """Handle a message; a reply that is not expected is ignored.

        :param message: the message.
        :param now: monotonic time in seconds.
        :return: at most one call to the table service.
        """
        match message:
            case SweepTick():
                return self.tick(now)
            case PageScanned(rows=rows, wall_s=wall_s) if self.phase == SweepPhase.scan:
                return self.handle_page(rows, wall_s, now)
            case PageFailed() if self.phase == SweepPhase.scan:
                self.schedule_scan(self.limits.pause_s, now)
            case RemovalEnded(committed=committed) if self.phase == SweepPhase.removal:
                self.removed += self.rows_in_removal if committed else 0
                self.schedule_scan(self.limits.interval_s, now)
            case PageScanned() | PageFailed() | RemovalEnded():
                return ()
            case _:
                assert_never(message)
        return ()

    def tick(self, now: float) -> tuple[SweepAction, ...]:
        """Start the next scan if it is due.

        :param now: monotonic time in seconds.
        :return: a scan, or no action.
        """
        if self.phase != SweepPhase.pause or now < self.next_at:
            return ()
        self.phase = SweepPhase.scan
        return (ScanPage(TABLE, self.cursor, self.limits.page_rows),)

    def handle_page(
        self, rows: tuple[Row, ...], wall_s: float, now: float
    ) -> tuple[SweepAction, ...]:
        """Remove the rows of a page whose retention has passed.

        :param rows: the page.
        :param wall_s: seconds since the Unix epoch.
        :param now: monotonic time in seconds.
        :return: a transaction, or no action.
        """
        expired = tuple(row for row in rows if self.check_row(row, wall_s))
        self.advance_cursor(rows, now)
        if not expired:
            return ()
        self.phase = SweepPhase.removal
        self.rows_in_removal = len(expired)
        conditions = (Condition(row.table, row.key, row.version) for row in expired)
        writes = (Write(row.table, row.key, None) for row in expired)
        return (RemoveRows(tuple(conditions), tuple(writes)),)

    def check_row(self, row: Row, wall_s: float) -> bool:
        """Inspect a row and record its key if its outcome is unknown.

        :param row: the row; one that holds no valid claim is counted and not removed.
        :param wall_s: seconds since the Unix epoch.
        :return: whether its retention has passed.
        """
        try:
            claim = parse_row(row)
        except PlatformError:
            self.corrupt_rows += 1
            return False
        unknown = unknown_key(row, wall_s, self.limits.unknown_after_s)
        if unknown is not None and len(self.found_unknown_keys) < self.limits.max_listed:
            self.found_unknown_keys[unknown.key] = unknown
        return wall_s - claim.created > self.limits.retention_s

    def advance_cursor(self, rows: tuple[Row, ...], now: float) -> None:
        """Advance to the next page, or start another pass after the last page.

        :param rows: the page.
        :param now: monotonic time in seconds.
        """
        if len(rows) == self.limits.page_rows:
            self.cursor = rows[-1].key
            self.schedule_scan(self.limits.interval_s, now)
            return
        self.cursor = ''
        self.unknown_keys = tuple(self.found_unknown_keys.values())
        self.found_unknown_keys = {}
        self.schedule_scan(self.limits.pause_s, now)

    def schedule_scan(self, mean_s: float, now: float) -> None:
        """Schedule the next scan.

        :param mean_s: mean delay in seconds, jittered by up to half of it either way.
        :param now: monotonic time in seconds.
        """
        self.phase = SweepPhase.pause
        jittered = now + mean_s * (self.rng.random() + 1 / 2)
        self.next_at = max(self.next_at, jittered)


def unknown_key(row: Row, wall_s: float, unknown_after_s: float) -> UnknownKey | None:
    """Return the key of a row if its outcome is unknown and will stay so.

    :param row: the row.
    :param wall_s: seconds since the Unix epoch.
    :param unknown_after_s: age below which a claim may still run.
    :return: the key, or ``None`` if its outcome is known or the row holds no valid claim.
    """
    try:
        claim = parse_row(row)
    except PlatformError:
        return None
    if not is_unknown(claim) or wall_s - claim.created <= unknown_after_s:
        return None
    return UnknownKey(
        claim.key,
        claim.organisation,
        claim.agent,
        claim.incarnation,
        claim.claim_id,
        claim.created,
    )


def is_unknown(claim: ClaimRow) -> bool:
    """Return whether a row leaves open what happened to its key.

    :param claim: the content of the row.
    :return: whether it has no outcome, or a failure with ``ran: unknown``.
    """
    failed = claim.code != Code.ok
    return claim.state == RowState.claimed or (failed and claim.ran == HasRun.unknown)


__all__ = (
    'PageFailed',
    'PageScanned',
    'RemovalEnded',
    'RemoveRows',
    'RetentionSweep',
    'ScanPage',
    'SweepAction',
    'SweepLimits',
    'SweepMessage',
    'SweepTick',
    'UnknownKey',
    'unknown_key',
)
