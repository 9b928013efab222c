"""Bounded store of the keys that an agent knows."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, Ran
from cassiahitch.ledger.api import Answer, Failure, LedgerLimits, State

if TYPE_CHECKING:
    from cassiahitch.ledger.api import Outcome


@dataclass(slots=True)
class Record:
    """What the ledger keeps of one key."""

    key: str
    body_digest: str
    state: State
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
        self.done_order: deque[str] = deque()
        self.void_order: deque[str] = deque()

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

    def queue(self, key: str, body_digest: str, request_id: str) -> None:
        """Add a queued key and reserve the bytes of its answer.

        :param key: the key, unknown so far.
        :param body_digest: hexadecimal digest of the request's body.
        :param request_id: the request that waits for it.
        """
        self.by_key[key] = Record(key, body_digest, State.queued, [request_id])
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
        self.bytes_kept += self.size_of(outcome) - self.limits.answer_bytes
        record.outcome = self.kept(outcome)
        record.state = State.done
        record.expires_at = now + self.limits.retention_s
        self.done_order.append(record.key)

    def kept(self, outcome: Outcome) -> Outcome:
        """Return what retries are told of an outcome.

        :param outcome: the outcome.
        :return: itself, or a failure if its answer is larger than the bound.
        """
        match outcome:
            case Answer(content=content) if len(content) > self.limits.answer_bytes:
                return Failure(Code.answer_not_kept, Ran.yes)
            case _:
                return outcome

    def size_of(self, outcome: Outcome | None) -> int:
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
        record.expires_at = now + self.limits.void_s
        self.by_key[key] = record
        self.void_count += 1
        self.void_order.append(key)
        return True

    def sweep(self, limit: int, now: float) -> int:
        """Remove records whose retention has passed.

        :param limit: largest number to remove of each kind.
        :param now: seconds of the agent's monotonic clock.
        :return: how many were removed.
        """
        voids = self.sweep_order(self.void_order, limit, now)
        self.void_count -= voids
        return voids + self.sweep_order(self.done_order, limit, now)

    def sweep_order(self, order: deque[str], limit: int, now: float) -> int:
        """Remove the oldest records of one kind.

        :param order: their keys, oldest first.
        :param limit: largest number to remove.
        :param now: seconds of the agent's monotonic clock.
        :return: how many were removed.
        """
        removed = 0
        while order and removed < limit and self.by_key[order[0]].expires_at < now:
            self.remove(self.by_key[order.popleft()])
            removed += 1
        return removed

    def remove(self, record: Record) -> None:
        """Forget a record and the identifiers that name it.

        :param record: the record.
        """
        self.bytes_kept -= self.size_of(record.outcome)
        for request_id in record.aliases:
            self.unalias(record, request_id)
        self.by_key.pop(record.key)


__all__ = (
    'Record',
    'Records',
)
