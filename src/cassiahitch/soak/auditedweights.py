"""Weights of the soak's engines, which note what each load has taken."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any, Self

from cassiahitch.soak.records import TakenLoad
from cassiahitch.standins.engineweights import LAYERS, EngineWeights
from cassiahitch.standins.weightservice import WeightService

#: Seconds before a load in which a staged chunk may turn corrupt without being noticed.
TOLERATED_CORRUPTION_S = 3.0


@dataclass(frozen=True, slots=True)
class CorruptChunk:
    """A staged chunk that turned corrupt: when, and its bytes before and since then."""

    at: float
    original: bytes
    content: bytes


@dataclass
class AuditedWeights(EngineWeights):
    """Weights that compare each chunk that a load takes with the version at the origin.

    ``loads`` records each accepted order. ``faults`` describes, for each loaded layer, the chunks
    that were missing, corrupt or of another version when it was taken, and ``taken_faults`` those
    of the layers that are being loaded. ``corrupt`` holds the staged chunks that turned corrupt.
    """

    service: WeightService = field(default_factory=lambda: WeightService('', 0))
    host: str = ''
    loads: list[TakenLoad] = field(default_factory=list)
    clock: Callable[[], float] = time.monotonic
    ordered_version: int = 0
    faults: dict[int, tuple[str, ...]] = field(default_factory=dict)
    taken_faults: dict[int, tuple[str, ...]] = field(default_factory=dict)
    corrupt: dict[int, CorruptChunk] = field(default_factory=dict)

    def restarted(self) -> Self:
        """Return the weights of a new process, which has loaded none.

        :return: weights with the same staged chunks.
        """
        return replace(
            self,
            version=0,
            load_sequence=0,
            loading=False,
            loaded_layers=range(LAYERS),
            contents={},
            taken={},
            faults={},
            taken_faults={},
        )

    def begin_load(self, order: dict[str, Any]) -> HTTPStatus:
        """Take the staged chunks of the ordered layers, and record their faults.

        :param order: the order, with the version, the layers and the expected sequence number.
        :return: the HTTP status.
        """
        loads_before = self.load_sequence
        self.ordered_version = order['version']
        status = super().begin_load(order)
        if self.load_sequence > loads_before:
            faults = self.faults_of(self.taken_layers)
            self.loads.append(TakenLoad(self.clock(), self.host, order['version'], faults))
        return status

    def staged_content(self, layer: int) -> bytes:
        """Return the staged chunks of a layer that is being taken, and note their faults.

        :param layer: the layer.
        :return: their bytes.
        """
        chunks = self.service.chunks.get(self.ordered_version, [])
        end = -(-(layer + 1) * len(chunks) // LAYERS)
        found = [
            self.describe_chunk(index, chunks[index])
            for index in range(layer * len(chunks) // LAYERS, end)
        ]
        if not chunks:
            found.append(f'no version {self.ordered_version}')
        self.taken_faults[layer] = tuple(fault for fault in found if fault)
        return super().staged_content(layer)

    def finish_load(self, version: int) -> None:
        """Replace the loaded layers and their faults by those that were taken.

        :param version: the version of the accepted order.
        """
        self.faults = {
            layer: self.taken_faults.get(layer, self.faults.get(layer, ()))
            for layer in self.taken_layers
        }
        self.taken_faults = {}
        super().finish_load(version)

    def faults_of(self, layers: range) -> tuple[str, ...]:
        """Return the faults of layers that are being loaded, or that are loaded.

        :param layers: the layers.
        :return: one description per chunk.
        """
        return tuple(
            fault
            for layer in layers
            for fault in self.taken_faults.get(layer, self.faults.get(layer, ()))
        )

    def loaded_faults(self) -> tuple[str, ...]:
        """Return what is wrong with the weights on which a request begins.

        :return: one description per faulty chunk or missing layer.
        """
        missing = (layer for layer in range(LAYERS) if layer not in self.loaded_layers)
        return (
            *(f'layer {layer} not loaded' for layer in missing),
            *(fault for layer in self.loaded_layers for fault in self.faults.get(layer, ())),
        )

    def corrupt_chunk(self, index: int) -> None:
        """Let a staged chunk turn corrupt.

        :param index: position of the chunk.
        """
        original = self.staged.get(index)
        known = self.corrupt.get(index)
        if original is None or (known is not None and original is known.content):
            return
        content = bytes(len(original))
        self.corrupt[index] = CorruptChunk(self.clock(), original, content)
        self.staged[index] = content

    def describe_chunk(self, index: int, expected: bytes) -> str:
        """Describe what is wrong with a staged chunk.

        :param index: position of the chunk.
        :param expected: its bytes at the origin.
        :return: the fault, empty if there is none, or none that could be noticed in time.
        """
        staged = self.staged.get(index)
        if staged is None:
            return f'chunk {index} missing'
        if staged == expected:
            return ''
        known = self.corrupt.get(index)
        if known is None or staged is not known.content:
            return f'chunk {index} of version {self.version_of(staged, index)}'
        corrupt_s = self.clock() - known.at
        if known.original == expected and corrupt_s <= TOLERATED_CORRUPTION_S:
            return ''
        version = self.version_of(known.original, index)
        return f'chunk {index} of version {version} corrupt for {corrupt_s:.2f} s'

    def version_of(self, content: bytes, index: int) -> int:
        """Return the version of the bytes of a chunk.

        :param content: the bytes.
        :param index: position of the chunk.
        :return: the version, 0 if no version has these bytes.
        """
        for version, chunks in self.service.chunks.items():
            if index < len(chunks) and chunks[index] == content:
                return version
        return 0


def loaded_faults(weights: EngineWeights) -> tuple[str, ...]:
    """Return what is wrong with the weights on which a request begins.

    :param weights: weights of an engine.
    :return: descriptions, none if the weights do not note their faults.
    """
    match weights:
        case AuditedWeights():
            return weights.loaded_faults()
        case _:
            return ()


__all__ = (
    'AuditedWeights',
    'loaded_faults',
)
