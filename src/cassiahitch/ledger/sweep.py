"""Retention sweep of claim rows, and the keys whose outcome is unknown."""

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
    """Rate of the sweep, its own share of the table service.

    :param retention_s: age at which a row is removed.
    :param page_rows: rows that are read in one scan, and removed in one transaction at most.
    :param interval_s: mean time between two scans; each is jittered by half of it.
    :param pause_s: mean time between two passes over the table, jittered likewise.
    :param settle_s: age at which a claim without an outcome is listed.
    :param listed: largest number of keys that are listed.
    """

    retention_s: float = 86_400
    page_rows: int = 200
    interval_s: float = 0.5
    pause_s: float = 60
    settle_s: float = 660
    listed: int = 1000


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """A caller's key that may have run or not; auditors ask for these."""

    key: str
    organisation: str
    agent: str
    incarnation: int
    claim_id: str
    created: float


@dataclass(frozen=True, slots=True)
class SweepTick:
    """Time passed; ``wall`` is in seconds since the Unix epoch."""

    wall: float


@dataclass(frozen=True, slots=True)
class PageScanned:
    """The rows of a scan, in the order of their keys."""

    rows: tuple[Row, ...]
    wall: float


@dataclass(frozen=True, slots=True)
class PageFailed:
    """A scan failed."""


@dataclass(frozen=True, slots=True)
class RemovalEnded:
    """A transaction ended; rows that it did not remove are met again in the next pass."""

    committed: bool


SweepMessage = SweepTick | PageScanned | PageFailed | RemovalEnded


@dataclass(frozen=True, slots=True)
class ScanPage:
    """Read rows after a key; answered by ``PageScanned`` or ``PageFailed``."""

    table: str
    after: str
    limit: int


@dataclass(frozen=True, slots=True)
class RemoveRows:
    """Commit one transaction; answered by ``RemovalEnded``."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


SweepAction = ScanPage | RemoveRows


class Phase(StrEnum):
    """What the sweep waits for."""

    pause = 'pause'
    scan = 'scan'
    removal = 'removal'


class RetentionSweep:
    """Walks over the claim rows with one call under way at a time."""

    def __init__(self, rng: Random, limits: SweepLimits | None = None) -> None:
        """Create it before its first pass.

        :param rng: source of jitter.
        :param limits: its rate.
        """
        self.rng = rng
        self.limits = limits or SweepLimits()
        self.phase = Phase.pause
        self.cursor = ''
        self.next_at: float = 0
        self.removing = 0
        self.removed = 0
        self.corrupt = 0
        self.found: dict[str, UnknownKey] = {}
        self.unknown: tuple[UnknownKey, ...] = ()

    def handle(self, message: SweepMessage, now: float) -> tuple[SweepAction, ...]:
        """Take in a message.

        :param message: the message.
        :param now: seconds of a monotonic clock.
        :return: at most one call to the table service.
        """
        match message:
            case SweepTick():
                return self.tick(now)
            case PageScanned(rows=rows, wall=wall) if self.phase == Phase.scan:
                return self.scanned(rows, wall, now)
            case PageFailed() if self.phase == Phase.scan:
                self.rest(self.limits.pause_s, now)
            case RemovalEnded(committed=committed) if self.phase == Phase.removal:
                self.removed += self.removing if committed else 0
                self.rest(self.limits.interval_s, now)
            case PageScanned() | PageFailed() | RemovalEnded():
                return ()
            case _:
                assert_never(message)
        return ()

    def tick(self, now: float) -> tuple[SweepAction, ...]:
        """Read the next page, if it is time.

        :param now: seconds.
        :return: a scan, or nothing.
        """
        if self.phase != Phase.pause or now < self.next_at:
            return ()
        self.phase = Phase.scan
        return (ScanPage(TABLE, self.cursor, self.limits.page_rows),)

    def scanned(self, rows: tuple[Row, ...], wall: float, now: float) -> tuple[SweepAction, ...]:
        """Remove the rows of a page whose retention has passed.

        :param rows: the page.
        :param wall: seconds since the Unix epoch.
        :param now: seconds.
        :return: a transaction, or nothing.
        """
        expired = tuple(row for row in rows if self.inspect(row, wall))
        self.advance(rows, now)
        if not expired:
            return ()
        self.phase = Phase.removal
        self.removing = len(expired)
        conditions = (Condition(row.table, row.key, row.version) for row in expired)
        writes = (Write(row.table, row.key, None) for row in expired)
        return (RemoveRows(tuple(conditions), tuple(writes)),)

    def inspect(self, row: Row, wall: float) -> bool:
        """Look at a row, and note its key if its outcome is unknown.

        :param row: the row; one that holds no claim is counted and left.
        :param wall: seconds since the Unix epoch.
        :return: whether its retention has passed.
        """
        try:
            claim = parse_row(row)
        except PlatformError:
            self.corrupt += 1
            return False
        unknown = unknown_key(row, wall, self.limits.settle_s)
        if unknown is not None and len(self.found) < self.limits.listed:
            self.found[unknown.key] = unknown
        return wall - claim.created > self.limits.retention_s

    def advance(self, rows: tuple[Row, ...], now: float) -> None:
        """Move on to the next page, or to the next pass after the last one.

        :param rows: the page.
        :param now: seconds.
        """
        if len(rows) == self.limits.page_rows:
            self.cursor = rows[-1].key
            self.rest(self.limits.interval_s, now)
            return
        self.cursor = ''
        self.unknown = tuple(self.found.values())
        self.found = {}
        self.rest(self.limits.pause_s, now)

    def rest(self, mean_s: float, now: float) -> None:
        """Wait before the next scan.

        :param mean_s: mean time to wait in seconds, jittered by half of it.
        :param now: seconds.
        """
        self.phase = Phase.pause
        jittered = now + mean_s * (self.rng.random() + 1 / 2)
        self.next_at = max(self.next_at, jittered)


def unknown_key(row: Row, wall: float, settle_s: float) -> UnknownKey | None:
    """Return the key of a row, if its outcome is unknown for good.

    :param row: the row.
    :param wall: seconds since the Unix epoch.
    :param settle_s: age below which a claim may still run.
    :return: the key, or nothing if its outcome is known or the row holds no claim.
    """
    try:
        claim = parse_row(row)
    except PlatformError:
        return None
    if not is_unknown(claim) or wall - claim.created <= settle_s:
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
    """Whether a row does not tell what came of its key.

    :param claim: the row.
    :return: whether it has no outcome, or one with ``ran: unknown``.
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
