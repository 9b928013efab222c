"""Bounded store of the keys that an agent knows."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import Answer, Failure, LedgerLimits, State

if TYPE_CHECKING:
    from cassiahitch.ledger.api import Dispatch, Outcome


@dataclass(slots=True)
class Record:
    """What the ledger keeps of one key."""

    key: str
    body_digest: str
    state: State
    not_after: float = 0
    keep_s: float = 0
    waiters: list[str] = field(default_factory=list)
    aliases: list[str] = field(default_factory=list)
    outcome: Outcome | None = None
    expires_at: float = 0


class Records:
    """Keys by state, with bounds on their number and bytes."""

    def __init__(self, limits: LedgerLimits) -> None:
        """Create an empty store.

        :param limits: its bounds.
        """
        self.limits = limits
        self.by_key: dict[str, Record] = {}
        self.aliases: dict[str, str] = {}
        self.bytes_kept = 0
        self.void_count = 0
        self.expiries: list[tuple[float, str]] = []

    def find(self, key: str) -> Record | None:
        """Return the record of a key, or of the key that it joined.

        :param key: the key.
        :return: the record, or nothing if the key is unknown.
        """
        return self.by_key.get(self.aliases.get(key, key))

    def has_room(self) -> bool:
        """Whether one more key can be queued.

        :return: whether both its record and the largest answer fit.
        """
        live = len(self.by_key) + len(self.aliases) - self.void_count
        expected = self.bytes_kept + self.limits.answer_bytes
        return live < self.limits.entries and expected <= self.limits.bytes_kept

    def queue(self, message: Dispatch) -> None:
        """Add a queued key and reserve the bytes of its answer.

        :param message: the request, its key unknown so far.
        """
        self.by_key[message.key] = Record(
            message.key,
            message.body_digest,
            State.queued,
            message.not_after,
            message.keep_s,
            [message.request_id],
        )
        self.bytes_kept += self.limits.answer_bytes

    def alias(self, record: Record, request_id: str) -> None:
        """Let a request identifier name a record too.

        :param record: the record.
        :param request_id: the identifier.
        """
        if request_id != record.key:
            record.aliases.append(request_id)
            self.aliases[request_id] = record.key

    def merge(self, key: str, record: Record) -> None:
        """Let a queued key name another record instead of its own.

        :param key: the key.
        :param record: the other record.
        """
        self.bytes_kept -= self.limits.answer_bytes
        self.by_key.pop(key)
        self.alias(record, key)

    def unalias(self, record: Record, request_id: str) -> None:
        """Let a request identifier name a record no more.

        :param record: the record.
        :param request_id: the identifier; ignored if it names another record by now.
        """
        if self.aliases.get(request_id) == record.key:
            self.aliases.pop(request_id)

    def finish(self, record: Record, outcome: Outcome, now: float) -> None:
        """Mark a queued or running key as done.

        :param record: its record.
        :param outcome: what came of it; a larger answer than the bound is not kept.
        :param now: seconds of the agent's monotonic clock.
        """
        self.bytes_kept += self.content_bytes(outcome) - self.limits.answer_bytes
        record.outcome = self.kept(outcome)
        record.state = State.done
        self.expire(record, max(now, record.not_after) + record.keep_s)

    def shorten(self, key: str, now: float) -> None:
        """Keep an outcome that is kept elsewhere too only while it may still be asked for.

        :param key: a key; ignored if it is not done.
        :param now: seconds of the agent's monotonic clock.
        """
        record = self.by_key.get(key)
        if record is not None and record.state == State.done:
            self.expire(record, max(now, record.not_after) + self.limits.settle_s)

    def expire(self, record: Record, when: float) -> None:
        """Plan the removal of a record.

        :param record: the record.
        :param when: seconds of the agent's monotonic clock.
        """
        record.expires_at = when
        heapq.heappush(self.expiries, (when, record.key))

    def kept(self, outcome: Outcome) -> Outcome:
        """Return what retries are told of an outcome.

        :param outcome: the outcome.
        :return: itself, or a failure if its answer is larger than the bound.
        """
        match outcome:
            case Answer(content=content) if len(content) > self.limits.answer_bytes:
                return Failure(Code.answer_not_kept, HasRun.yes)
            case _:
                return outcome

    def content_bytes(self, outcome: Outcome | None) -> int:
        """Count the answer bytes that a done key takes.

        :param outcome: its outcome.
        :return: bytes.
        """
        match outcome:
            case Answer(content=content) if len(content) <= self.limits.answer_bytes:
                return len(content)
            case _:
                return 0

    def void(self, key: str, now: float) -> bool:
        """Record that an unknown or queued key never runs.

        :param key: the key.
        :param now: seconds of the agent's monotonic clock.
        :return: whether there was room to record it.
        """
        record = self.by_key.get(key)
        if record is None and self.void_count >= self.limits.voids:
            return False
        if record is not None:
            self.bytes_kept -= self.limits.answer_bytes
        record = record or Record(key, '', State.void)
        record.state = State.void
        self.by_key[key] = record
        self.void_count += 1
        self.expire(record, now + self.limits.void_s)
        return True

    def sweep(self, limit: int, now: float) -> int:
        """Remove records whose retention has passed.

        :param limit: largest number of records to look at.
        :param now: seconds of the agent's monotonic clock.
        :return: how many were removed.
        """
        removed = 0
        for _ in range(limit):
            if not self.expiries or self.expiries[0][0] >= now:
                break
            when, key = heapq.heappop(self.expiries)
            record = self.by_key.get(key)
            if record is not None and record.expires_at == when:
                self.remove(record)
                removed += 1
        return removed

    def remove(self, record: Record) -> None:
        """Forget a record and the identifiers that name it.

        :param record: the record.
        """
        self.bytes_kept -= self.content_bytes(record.outcome)
        self.void_count -= record.state == State.void
        for request_id in record.aliases:
            self.unalias(record, request_id)
        self.by_key.pop(record.key)


__all__ = (
    'Record',
    'Records',
)
