"""Decides whether the weights that an engine loaded are those that its agent verified.

Load pattern: a host is suspended, or its engine is silent, between the verification of the staged
chunks and the moment at which the engine accepts the order and takes them. Chunks that turn corrupt
meanwhile are loaded. Only the time of the whole exchange, or a verification after it, shows whether
that can have happened. Until then the engine gets no requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.enginestate import LoadOutcome

if TYPE_CHECKING:
    from cassiahitch.direct.staging.chunks import WeightsId
    from cassiahitch.direct.staging.enginestate import EngineReport

#: Seconds after its verification within which an engine has to take a chunk.
MAX_TAKEN_AFTER_S = 2.5


@dataclass(slots=True)
class LoadTrust:
    """Tells which weights of the current incarnation of an engine may not serve requests.

    ``ordered`` are weights that the engine may have begun to load with corrupt chunks, and
    ``unacknowledged`` is set if it may still execute an order without a response.
    ``replaced_chunks`` is set if staged chunks of them were replaced since, so that a verification
    proves nothing any more. ``unsound`` are weights that the engine loaded and of which a chunk was
    corrupt afterwards. ``loads`` is how many loads the engine had begun at its last report, and
    ``proven_loads`` how many it had begun when the last of them was known to be sound. The
    incarnation started at ``born_ms``, None before the first report.
    """

    born_ms: int | None = None
    loads: int = 0
    proven_loads: int = 0
    ordered: WeightsId | None = None
    unacknowledged: bool = False
    replaced_chunks: bool = False
    unsound: WeightsId | None = None

    @property
    def has_unproven_load(self) -> bool:
        """Whether the engine has begun a load that may have taken corrupt chunks."""
        return self.loads > self.proven_loads

    def observe(self, report: EngineReport) -> None:
        """Apply a report of the engine.

        What an incarnation has loaded at its first report is taken for sound, since its agent
        verified it. A load that is in progress by then was ordered by an earlier incarnation of the
        agent, which may not have had the time to verify it.

        :param report: the report.
        """
        self.loads = report.load_orders
        if report.born_ms == self.born_ms:
            return
        self.born_ms = report.born_ms
        self.accept()
        self.proven_loads -= int(report.loading)

    def is_withheld(self, model: str, version: int) -> bool:
        """Return whether a loaded version may not serve requests.

        :param model: the model.
        :param version: the version that the engine reports as loaded.
        :return: whether it may have been loaded with corrupt chunks.
        """
        return self.has_unproven_load or any(
            weights is not None and (weights.model, weights.version) == (model, version)
            for weights in (self.ordered, self.unsound)
        )

    def record_order(self, weights: WeightsId) -> None:
        """Record that an order to load weights may reach the engine, now or later.

        :param weights: the weights.
        """
        if self.ordered != weights:
            self.ordered = weights
            self.replaced_chunks = False

    def record_replaced_chunk(self, weights: WeightsId) -> None:
        """Record that a staged chunk was corrupt or missing and has been replaced.

        :param weights: the version of the chunk.
        """
        if self.ordered == weights:
            self.replaced_chunks = True

    def record_outcome(self, outcome: LoadOutcome, loads_before: int, taken_after_s: float) -> None:
        """Record the outcome of an order.

        An order that began a load proves that no earlier one did, since each names the number of
        loads before it.

        :param outcome: the outcome.
        :param loads_before: number of loads that the engine had begun before.
        :param taken_after_s: seconds from the oldest verification of a chunk to the outcome.
        """
        match outcome:
            case LoadOutcome.begun:
                self.loads = loads_before + 1
                if taken_after_s <= MAX_TAKEN_AFTER_S:
                    self.accept()
            case LoadOutcome.unknown:
                self.unacknowledged = True
            case _ if not self.unacknowledged:
                self.ordered = None

    def record_verification(self, *, sound: bool) -> bool:
        """Record the verification of the staged chunks after the engine accepted an order.

        :param sound: whether all chunks are as they were before the order.
        :return: whether the engine took sound chunks.
        """
        ordered = self.ordered
        proven = sound and not self.replaced_chunks
        self.accept()
        if not proven:
            self.unsound = ordered
        return proven

    def accept(self) -> None:
        """Take the last load that the engine has begun for sound."""
        self.proven_loads = self.loads
        self.ordered = None
        self.unacknowledged = False
        self.unsound = None
        self.replaced_chunks = False


__all__ = (
    'MAX_TAKEN_AFTER_S',
    'LoadTrust',
)
