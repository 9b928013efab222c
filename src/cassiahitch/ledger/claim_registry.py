"""Claims on their way: the writes of their rows and their ends."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import TYPE_CHECKING

from cassiahitch.codes import Code, Ran
from cassiahitch.ledger.api import Enqueue, Failure, KeyState
from cassiahitch.ledger.group_commit import GroupCommit, RowWrite, WritePurpose
from cassiahitch.ledger.rows import ClaimRow, is_inline
from cassiahitch.stores.api import ABSENT

if TYPE_CHECKING:
    from random import Random

    from cassiahitch.ledger.api import Outcome
    from cassiahitch.ledger.claim_api import Claim, ClaimAction, ClaimLimits
    from cassiahitch.ledger.ledger import Ledger


class ClaimStage(StrEnum):
    """How far a claim has come."""

    committing = 'committing'
    reading = 'reading'
    asking = 'asking'
    held = 'held'
    recording = 'recording'
    cleaning = 'cleaning'


@dataclass(slots=True)
class PendingClaim:
    """A claim on its way.

    ``expected_version`` is the version of the row that it replaces, ``version`` that of its own,
    ``owner`` the other claim that it found, and ``code`` what the caller is told if the
    deadline passes.
    """

    claim: Claim
    stage: ClaimStage = ClaimStage.committing
    expected_version: int = ABSENT
    version: int = ABSENT
    attempts: int = 0
    retry_at: float = inf
    outcome_unknown: bool = False
    owner: ClaimRow | None = None
    failure: Failure = Failure(Code.deadline_exceeded, Ran.no)


class ClaimRegistry:
    """The claims of an agent whose rows are not yet what they shall be."""

    def __init__(self, agent: str, ledger: Ledger, rng: Random, limits: ClaimLimits) -> None:
        """Create it without claims.

        :param agent: the host of this agent.
        :param ledger: its ledger.
        :param rng: source of jitter.
        :param limits: its bounds.
        """
        self.agent = agent
        self.ledger = ledger
        self.rng = rng
        self.limits = limits
        self.commits = GroupCommit(limits)
        self.by_id: dict[str, PendingClaim] = {}

    def add(self, claim: Claim) -> None:
        """Queue the write of a new claim's row.

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
        """Return a row write of a claim.

        :param pending: the claim.
        :param purpose: why it is written.
        :param expected_version: the version that the row must have.
        :param content: the row, or nothing to remove it.
        :return: the member of a batch.
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
        """Take in that the row holds a claim: run it, unless it is void or too late.

        :param pending: the claim.
        :param version: the row's version.
        :param now: seconds.
        :return: what to do.
        """
        pending.version = version
        if pending.stage == ClaimStage.cleaning:
            self.queue_removal(pending)
            return ()
        pending.stage = ClaimStage.held
        if now >= pending.claim.deadline:
            return self.refuse(pending, Failure(Code.deadline_exceeded, Ran.no), now)
        return (Enqueue(pending.claim.request_id),)

    def refuse(
        self, pending: PendingClaim, failure: Failure, now: float
    ) -> tuple[ClaimAction, ...]:
        """Make a claim void and tell its callers that it did not run.

        :param pending: the claim.
        :param failure: what they are told.
        :param now: seconds.
        :return: a refusal for each request that waits.
        """
        refusals = self.ledger.fail(pending.claim.request_id, failure, now)
        self.sync_row(pending.claim.request_id, now)
        return refusals

    def resolve(
        self, pending: PendingClaim, outcome: Outcome, now: float
    ) -> tuple[ClaimAction, ...]:
        """End a claim that did not run here with what is known of its key.

        A failure is not replayed: the next request under the key looks again.

        :param pending: the claim.
        :param outcome: what its callers are told.
        :param now: seconds.
        :return: an answer for each request that waits.
        """
        record = self.ledger.records.by_key[pending.claim.request_id]
        if isinstance(outcome, Failure):
            self.ledger.records.unalias(record, pending.claim.key)
        self.drop(pending)
        actions = self.ledger.complete(record.key, outcome, now)
        self.ledger.records.shorten_retention(record.key, now)
        return actions

    def mark_outcome_recorded(self, key: str, now: float) -> None:
        """Take in that a claim's outcome is on its row.

        :param key: the claim.
        :param now: seconds.
        """
        record = self.ledger.records.by_key.get(key)
        if record is not None and is_inline(record.outcome):
            self.ledger.records.shorten_retention(key, now)

    def sync_row(self, key: str, now: float) -> None:
        """Bring the row of a claim up to date with the ledger.

        :param key: the claim, or any other key.
        :param now: seconds.
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

        A write or read under way goes on; its reply tells what there is to remove.

        :param pending: the claim.
        :param now: seconds.
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
        """Read the row of a void claim after a while, if it may still be written.

        :param pending: the claim.
        :param now: seconds.
        """
        pending.attempts += 1
        pending.retry_at = self.next_retry_at(now)
        if not pending.outcome_unknown or pending.attempts > self.limits.clean_attempts:
            self.drop(pending)

    def drop(self, pending: PendingClaim) -> None:
        """Drop a claim of which nothing is left to write.

        :param pending: the claim.
        """
        self.by_id.pop(pending.claim.request_id, None)

    def next_retry_at(self, now: float) -> float:
        """Return when a failed step is tried again.

        :param now: seconds.
        :return: seconds.
        """
        return now + self.limits.retry_s * (1 + self.rng.random())


__all__ = (
    'ClaimRegistry',
    'PendingClaim',
    'ClaimStage',
)
