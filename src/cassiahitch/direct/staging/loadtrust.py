"""Decides whether the weights that an engine loaded are those that its agent verified.

Load pattern: an engine takes the staged chunks when it accepts an order, which may be long after
the agent sent it. By then, a chunk may have turned corrupt or been replaced, the agent may have
been killed, and the one started after it may have begun to stage another version. Only a
verification by the agent that gave the order, after the engine accepted it, shows that the load is
sound. Until then the engine gets no requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cassiahitch.direct.staging.enginestate import LoadOutcome

if TYPE_CHECKING:
    from cassiahitch.direct.staging.chunks import WeightsId
    from cassiahitch.direct.staging.enginestate import EngineReport


@dataclass(frozen=True, slots=True)
class ProvenLoad:
    """A load that was sound: its number among those of an incarnation of an engine.

    The incarnation started at ``born_ms``. ``chunks`` is how many chunks were verified.
    """

    born_ms: int
    loads: int
    chunks: int = 0


@dataclass(slots=True)
class LoadTrust:
    """Tells which weights of the current incarnation of an engine may not serve requests.

    ``loads`` is how many loads the engine had begun at its last report, and ``proven_loads`` how
    many it had begun when the last of them was known to be sound, by ``proven_chunks`` chunks that
    were verified. ``ordered`` are weights whose
    order the engine may have executed or may still execute, unless it had begun more loads than
    ``loads_before`` already, and ``unacknowledged`` is set if that order got no response.
    ``replaced_chunks`` is set if staged chunks of them were replaced since, so that a verification
    proves nothing any more. ``record_read`` is set once it is known whether an earlier incarnation
    of the agent recorded the load as sound. The incarnation of the engine started at ``born_ms``,
    None before the first report.
    """

    born_ms: int | None = None
    loads: int = 0
    proven_loads: int = 0
    proven_chunks: int = 0
    ordered: WeightsId | None = None
    loads_before: int = 0
    unacknowledged: bool = False
    replaced_chunks: bool = False
    record_read: bool = False

    @property
    def has_unproven_load(self) -> bool:
        """Whether the engine has begun a load that may have taken corrupt chunks."""
        return self.loads > self.proven_loads

    @property
    def has_ordered_load(self) -> bool:
        """Whether the last load that the engine has begun is the ordered one."""
        return self.ordered is not None and self.loads == self.loads_before + 1

    @property
    def awaits_record(self) -> bool:
        """Whether an earlier incarnation of the agent may have recorded the load as sound."""
        is_other_load = self.has_unproven_load and not self.has_ordered_load
        return is_other_load and not self.record_read

    @property
    def needs_reload(self) -> bool:
        """Whether nothing can show any more that the last load was sound."""
        is_other_load = self.has_unproven_load and not self.has_ordered_load
        return is_other_load and self.record_read

    def observe(self, report: EngineReport) -> None:
        """Apply a report of the engine.

        An incarnation that has begun no load has the weights with which its process was started.

        :param report: the report.
        """
        if report.born_ms == self.born_ms:
            # A report that was sent before the response to an order may arrive after it.
            self.loads = max(self.loads, report.load_orders)
            return
        self.born_ms = report.born_ms
        self.loads = report.load_orders
        self.proven_loads = 0
        self.proven_chunks = 0
        self.ordered = None
        self.unacknowledged = False
        self.replaced_chunks = False
        self.record_read = False

    def is_withheld(self, model: str, version: int) -> bool:
        """Return whether a loaded version may not serve requests.

        :param model: the model.
        :param version: the version that the engine reports as loaded.
        :return: whether it may have been loaded with corrupt chunks.
        """
        if self.has_unproven_load:
            return True
        return self.ordered is not None and (self.ordered.model, self.ordered.version) == (
            model,
            version,
        )

    def record_order(self, weights: WeightsId, loads_before: int) -> None:
        """Record that an order to load weights may reach the engine, now or later.

        :param weights: the weights.
        :param loads_before: number of loads that the engine must have begun before.
        """
        if (self.ordered, self.loads_before) != (weights, loads_before):
            self.ordered = weights
            self.loads_before = loads_before
            self.unacknowledged = False
            self.replaced_chunks = False

    def record_replaced_chunk(self, weights: WeightsId) -> None:
        """Record that a staged chunk was corrupt or missing and has been replaced.

        :param weights: the version of the chunk.
        """
        if self.ordered == weights:
            self.replaced_chunks = True

    def record_outcome(self, outcome: LoadOutcome) -> None:
        """Record the outcome of the order that was recorded last.

        An order that began a load proves that no earlier one did, since each names the number of
        loads before it.

        :param outcome: the outcome.
        """
        match outcome:
            case LoadOutcome.begun:
                self.loads = self.loads_before + 1
                self.unacknowledged = False
                self.replaced_chunks = False
            case LoadOutcome.unknown:
                self.unacknowledged = True
            case _ if not self.unacknowledged:
                self.ordered = None

    def record_verification(self, *, sound: bool, chunks: int) -> bool:
        """Record the verification of the staged chunks after the engine accepted the order.

        :param sound: whether all chunks are as they were before the order.
        :param chunks: how many chunks were verified.
        :return: whether the engine took sound chunks and has not begun another load since.
        """
        proven = sound and self.has_ordered_load and not self.replaced_chunks
        if proven:
            self.accept(chunks)
        else:
            self.give_up()
        return proven

    def apply_record(self, record: ProvenLoad | None) -> bool:
        """Apply what an earlier incarnation of the agent recorded.

        :param record: the last load that it had proven, None if there is none.
        :return: whether the last load of the engine is the recorded one.
        """
        self.record_read = True
        if record is not None and record.born_ms == self.born_ms:
            self.proven_loads = max(self.proven_loads, min(record.loads, self.loads))
            self.proven_chunks = record.chunks
        return not self.has_unproven_load

    def accept(self, chunks: int) -> None:
        """Take the last load that the engine has begun for sound.

        :param chunks: how many chunks were verified.
        """
        self.proven_loads = self.loads
        self.proven_chunks = chunks
        self._forget_order()

    def give_up(self) -> None:
        """Withhold the last load until another one is proven."""
        self.record_read = True
        self._forget_order()

    def proven_load(self) -> ProvenLoad | None:
        """Return what is to be recorded for later incarnations of the agent.

        :return: the last load if it is sound, None if there is nothing to record.
        """
        if self.born_ms is None or not self.loads or self.has_unproven_load:
            return None
        return ProvenLoad(self.born_ms, self.loads, self.proven_chunks)

    def _forget_order(self) -> None:
        self.ordered = None
        self.unacknowledged = False
        self.replaced_chunks = False


__all__ = (
    'LoadTrust',
    'ProvenLoad',
)
