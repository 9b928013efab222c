"""Bounded store of the ledger's records, by key."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import Answer, Failure, KeyState, LedgerLimits

if TYPE_CHECKING:
    from cassiahitch.ledger.api import Dispatch, Outcome


@dataclass(slots=True)
class Record:
    """The state of one key, the requests that wait for it and its outcome.

    ``not_after`` and ``expires_at`` are in seconds of the agent's monotonic clock.
    """

    key: str
    body_digest: str
    state: KeyState
    not_after: float = 0
    retention_s: float = 0
    waiters: list[str] = field(default_factory=list)
    aliases: list[str] = field(default_factory=list)
    outcome: Outcome | None = None
    expires_at: float = 0


class RecordStore:
    """Records by key and alias, with limits on their number and on their answer bytes.

    The bytes of the largest answer are reserved when a key is queued, so that any answer fits.
    """

    def __init__(self, limits: LedgerLimits) -> None:
        """Create an empty store.

        :param limits: limits of the ledger.
        """
        self.limits = limits
        self.by_key: dict[str, Record] = {}
        self.aliases: dict[str, str] = {}
        self.bytes_kept = 0
        self.void_count = 0
        self.expiries: list[tuple[float, str]] = []

    def find(self, key: str) -> Record | None:
        """Return the record of a key or alias.

        :param key: the key or alias.
        :return: the record, or ``None``.
        """
        return self.by_key.get(self.aliases.get(key, key))

    def has_capacity(self) -> bool:
        """Return whether one more key can be queued.

        :return: whether its record and an answer of the largest size fit.
        """
        key_count = len(self.by_key) + len(self.aliases) - self.void_count
        needed_bytes = self.bytes_kept + self.limits.max_answer_bytes
        return key_count < self.limits.max_keys and needed_bytes <= self.limits.max_kept_bytes

    def queue(self, message: Dispatch) -> None:
        """Add a queued key and reserve the bytes of its answer.

        :param message: the request; its key must not have a record.
        """
        self.by_key[message.key] = Record(
            message.key,
            message.body_digest,
            KeyState.queued,
            message.not_after,
            message.retention_s,
            [message.request_id],
        )
        self.bytes_kept += self.limits.max_answer_bytes

    def alias(self, record: Record, request_id: str) -> None:
        """Make an identifier an alias of a record.

        :param record: the record.
        :param request_id: the identifier.
        """
        if request_id != record.key:
            record.aliases.append(request_id)
            self.aliases[request_id] = record.key

    def merge(self, key: str, record: Record) -> None:
        """Remove the record of a queued key and make the key an alias of another record.

        :param key: the key.
        :param record: the other record.
        """
        self.bytes_kept -= self.limits.max_answer_bytes
        self.by_key.pop(key)
        self.alias(record, key)

    def unalias(self, record: Record, request_id: str) -> None:
        """Remove an alias of a record.

        :param record: the record.
        :param request_id: the alias; ignored if it now belongs to another record.
        """
        if self.aliases.get(request_id) == record.key:
            self.aliases.pop(request_id)

    def finish(self, record: Record, outcome: Outcome, now: float) -> None:
        """Mark a queued or running key as done.

        :param record: the record of the key.
        :param outcome: the outcome; an answer larger than ``max_answer_bytes`` is not kept.
        :param now: seconds of the agent's monotonic clock.
        """
        self.bytes_kept += self.content_bytes(outcome) - self.limits.max_answer_bytes
        record.outcome = self.retained_outcome(outcome)
        record.state = KeyState.done
        self.schedule_expiry(record, max(now, record.not_after) + record.retention_s)

    def shorten_retention(self, key: str, now: float) -> None:
        """Shorten the retention of an outcome that is also stored elsewhere.

        :param key: a key; ignored if it is not done.
        :param now: seconds of the agent's monotonic clock.
        """
        record = self.by_key.get(key)
        if record is not None and record.state == KeyState.done:
            self.schedule_expiry(record, max(now, record.not_after) + self.limits.min_retention_s)

    def schedule_expiry(self, record: Record, expires_at: float) -> None:
        """Schedule the removal of a record by a sweep.

        :param record: the record.
        :param expires_at: seconds of the agent's monotonic clock.
        """
        record.expires_at = expires_at
        heapq.heappush(self.expiries, (expires_at, record.key))

    def retained_outcome(self, outcome: Outcome) -> Outcome:
        """Return the outcome that is replayed to retries.

        :param outcome: the outcome.
        :return: the outcome, or a failure if its answer is too large to keep.
        """
        match outcome:
            case Answer(content=content) if len(content) > self.limits.max_answer_bytes:
                return Failure(Code.answer_not_kept, HasRun.yes)
            case _:
                return outcome

    def content_bytes(self, outcome: Outcome | None) -> int:
        """Return the number of answer bytes that a done key occupies.

        :param outcome: the outcome of the key.
        :return: bytes.
        """
        match outcome:
            case Answer(content=content) if len(content) <= self.limits.max_answer_bytes:
                return len(content)
            case _:
                return 0

    def void(self, key: str, now: float) -> bool:
        """Record that a key never runs.

        :param key: a key that has no record, or is queued or running.
        :param now: seconds of the agent's monotonic clock.
        :return: whether it was recorded; false if there are too many void keys.
        """
        record = self.by_key.get(key)
        if record is None and self.void_count >= self.limits.max_voids:
            return False
        if record is not None:
            self.bytes_kept -= self.limits.max_answer_bytes
        record = record or Record(key, '', KeyState.void)
        record.state = KeyState.void
        self.by_key[key] = record
        self.void_count += 1
        self.schedule_expiry(record, now + self.limits.void_retention_s)
        return True

    def sweep(self, limit: int, now: float) -> int:
        """Remove records whose retention has passed.

        :param limit: largest number of scheduled removals to process.
        :param now: seconds of the agent's monotonic clock.
        :return: the number of removed records.
        """
        removed = 0
        for _ in range(limit):
            if not self.expiries or self.expiries[0][0] >= now:
                break
            expires_at, key = heapq.heappop(self.expiries)
            record = self.by_key.get(key)
            if record is not None and record.expires_at == expires_at:
                self.remove(record)
                removed += 1
        return removed

    def remove(self, record: Record) -> None:
        """Remove a record and its aliases.

        :param record: the record.
        """
        self.bytes_kept -= self.content_bytes(record.outcome)
        self.void_count -= record.state == KeyState.void
        for request_id in record.aliases:
            self.unalias(record, request_id)
        self.by_key.pop(record.key)


__all__ = (
    'Record',
    'RecordStore',
)
