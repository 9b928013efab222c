"""Registry of pending claims, which queues the writes of their rows."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, HasRun
from cassiahitch.ledger.api import Enqueue, Failure, KeyState
from cassiahitch.ledger.group_commit import GroupCommit, RowWrite, WritePurpose
from cassiahitch.ledger.rows import ClaimRow, is_inline
from cassiahitch.stores.api import ABSENT_VERSION

if TYPE_CHECKING:
    from random import Random

    from cassiahitch.ledger.api import Outcome
    from cassiahitch.ledger.claim_api import Claim, ClaimAction, ClaimLimits
    from cassiahitch.ledger.ledger import Ledger


class ClaimStage(StrEnum):
    """Step of a pending claim."""

    #: The write of the row is queued or in flight.
    committing = 'committing'
    #: The row is read, because its write conflicted or has an unknown outcome.
    reading = 'reading'
    #: The row holds another claim, whose agent is queried.
    asking = 'asking'
    #: The row holds this claim, which may run.
    held = 'held'
    #: The write of the outcome to the row is queued or in flight.
    recording = 'recording'
    #: The claim is void and its row is to be removed.
    cleaning = 'cleaning'


@dataclass(slots=True)
class PendingClaim:
    """A claim that still has a row to write, read or remove, or that may run.

    ``expected_version`` is the version of the row that the claim replaces and ``version`` that
    of its own row. ``owner`` is the row of another claim of the key, if there is one.
    ``attempts`` counts the reads of the row of a void claim. ``failure`` is reported to the caller
    if the deadline passes.
    """

    claim: Claim
    stage: ClaimStage = ClaimStage.committing
    expected_version: int = ABSENT_VERSION
    version: int = ABSENT_VERSION
    attempts: int = 0
    retry_at: float = inf
    outcome_unknown: bool = False
    owner: ClaimRow | None = None
    failure: Failure = Failure(Code.deadline_exceeded, HasRun.no)


class ClaimRegistry:
    """The pending claims of an agent, and the row writes that they need."""

    def __init__(self, agent: str, ledger: Ledger, rng: Random, limits: ClaimLimits) -> None:
        """Create an empty registry.

        :param agent: the host of this agent.
        :param ledger: the ledger of this agent.
        :param rng: source of jitter.
        :param limits: limits and intervals.
        """
        self.agent = agent
        self.ledger = ledger
        self.rng = rng
        self.limits = limits
        self.commits = GroupCommit(limits)
        self.by_id: dict[str, PendingClaim] = {}

    def add(self, claim: Claim) -> None:
        """Add a claim and queue the write of its row.

        :param claim: the claim.
        """
        pending = PendingClaim(claim)
        self.by_id[claim.request_id] = pending
        self.queue_claim(pending)

    def queue_claim(self, pending: PendingClaim) -> None:
        """Queue the write of a claim's row.

        :param pending: the claim.
        """
        pending.stage = ClaimStage.committing
        content = self.claim_row(pending.claim).encode()
        self.commits.add(
            self.build_row_write(pending, WritePurpose.claim, pending.expected_version, content)
        )

    def claim_row(self, claim: Claim) -> ClaimRow:
        """Return the row of a claim of this agent.

        :param claim: the claim.
        :return: its row.
        """
        return ClaimRow(
            key=claim.key,
            organisation=claim.organisation,
            body_digest=claim.body_digest,
            agent=self.agent,
            incarnation=self.ledger.incarnation,
            claim_id=claim.request_id,
            not_after=claim.not_after,
            created=claim.created,
        )

    def build_row_write(
        self,
        pending: PendingClaim,
        purpose: WritePurpose,
        expected_version: int,
        content: bytes | None,
    ) -> RowWrite:
        """Return a write of a claim's row.

        :param pending: the claim.
        :param purpose: the purpose of the write.
        :param expected_version: the version that the row must have.
        :param content: the new content, or ``None`` to remove the row.
        :return: the row write.
        """
        claim = pending.claim
        return RowWrite(claim.request_id, purpose, claim.key, expected_version, content)

    def queue_outcome(self, pending: PendingClaim, outcome: Outcome) -> None:
        """Queue the write of an outcome to a claim's row.

        :param pending: the claim.
        :param outcome: its outcome.
        """
        pending.stage = ClaimStage.recording
        content = self.claim_row(pending.claim).with_outcome(outcome).encode()
        self.commits.add(
            self.build_row_write(pending, WritePurpose.record, pending.version, content)
        )

    def queue_removal(self, pending: PendingClaim) -> None:
        """Queue the removal of a void claim's row.

        :param pending: the claim.
        """
        self.commits.add(self.build_row_write(pending, WritePurpose.remove, pending.version, None))

    def confirm_row(
        self, pending: PendingClaim, version: int, now: float
    ) -> tuple[ClaimAction, ...]:
        """Record that the row holds a claim, and run it unless it is void or too late.

        :param pending: the claim.
        :param version: the version of the row.
        :param now: monotonic time in seconds.
        :return: the actions to perform.
        """
        pending.version = version
        if pending.stage == ClaimStage.cleaning:
            self.queue_removal(pending)
            return ()
        pending.stage = ClaimStage.held
        if now >= pending.claim.deadline:
            return self.refuse(pending, Failure(Code.deadline_exceeded, HasRun.no), now)
        return (Enqueue(pending.claim.request_id),)

    def refuse(
        self, pending: PendingClaim, failure: Failure, now: float
    ) -> tuple[ClaimAction, ...]:
        """Make a claim void and refuse the requests that wait for it.

        :param pending: the claim.
        :param failure: the code of the refusals, with ``ran: no``.
        :param now: monotonic time in seconds.
        :return: a refusal for each waiting request.
        """
        refusals = self.ledger.fail(pending.claim.request_id, failure, now)
        self.sync_row(pending.claim.request_id, now)
        return refusals

    def resolve(
        self, pending: PendingClaim, outcome: Outcome, now: float
    ) -> tuple[ClaimAction, ...]:
        """End a claim that did not run here with the outcome of another claim of its key.

        A failure is not replayed: the next request with the key reads the row again.

        :param pending: the claim.
        :param outcome: the outcome that is sent to the waiting requests.
        :param now: monotonic time in seconds.
        :return: an action for each waiting request.
        """
        record = self.ledger.records.by_key[pending.claim.request_id]
        if isinstance(outcome, Failure):
            self.ledger.records.unalias(record, pending.claim.key)
        self.drop(pending)
        actions = self.ledger.complete(record.key, outcome, now)
        self.ledger.records.shorten_retention(record.key, now)
        return actions

    def mark_outcome_recorded(self, key: str, now: float) -> None:
        """Record that the row of a claim holds its outcome.

        The ledger then keeps the outcome only for the shortest retention, unless the answer
        is too large for the row.

        :param key: the identifier of the claim.
        :param now: monotonic time in seconds.
        """
        record = self.ledger.records.by_key.get(key)
        if record is not None and is_inline(record.outcome):
            self.ledger.records.shorten_retention(key, now)

    def sync_row(self, key: str, now: float) -> None:
        """Queue the row write that the state of a claim in the ledger requires.

        :param key: the identifier of the claim; keys without a pending claim are ignored.
        :param now: monotonic time in seconds.
        """
        pending = self.by_id.get(key)
        record = self.ledger.records.by_key.get(key)
        if pending is None or record is None:
            return
        if record.state == KeyState.void:
            self.start_removal(pending, now)
        elif record.outcome is not None and pending.stage == ClaimStage.held:
            self.queue_outcome(pending, record.outcome)

    def start_removal(self, pending: PendingClaim, now: float) -> None:
        """Start to remove the row of a void claim.

        A write or read in flight is not cancelled; its reply shows whether there is a row.

        :param pending: the claim.
        :param now: monotonic time in seconds.
        """
        stage = pending.stage
        pending.stage = ClaimStage.cleaning
        pending.attempts = 0
        if stage == ClaimStage.held:
            self.queue_removal(pending)
            return
        dropped = self.commits.discard(pending.claim.request_id)
        if dropped or stage == ClaimStage.asking:
            self.schedule_removal_read(pending, now)

    def schedule_removal_read(self, pending: PendingClaim, now: float) -> None:
        """Schedule a read of a void claim's row, or drop the claim.

        Only a write with an unknown outcome may still create the row. After
        ``clean_attempts`` reads the row is left to the retention sweep.

        :param pending: the claim.
        :param now: monotonic time in seconds.
        """
        pending.attempts += 1
        pending.retry_at = self.next_retry_at(now)
        if not pending.outcome_unknown or pending.attempts > self.limits.clean_attempts:
            self.drop(pending)

    def drop(self, pending: PendingClaim) -> None:
        """Remove a claim that has nothing left to write.

        :param pending: the claim.
        """
        self.by_id.pop(pending.claim.request_id, None)

    def next_retry_at(self, now: float) -> float:
        """Return the time at which a step that failed now is retried.

        :param now: monotonic time in seconds.
        :return: monotonic time in seconds, with jitter.
        """
        return now + self.limits.retry_s * (1 + self.rng.random())


__all__ = (
    'ClaimRegistry',
    'PendingClaim',
    'ClaimStage',
)
