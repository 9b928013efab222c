"""Stand-in of the weights of a model engine: staged chunks, loaded layers and orders to load."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

#: Number of layers of the model.
LAYERS = 4


@dataclass(slots=True)
class EngineWeights:
    """The weights of a model engine: staged chunks, and the loaded layers of one version.

    ``load_sequence`` counts the accepted orders to load; ``load_s`` is how long a load takes, and
    ``taken_digest`` the digest of the chunks of all layers as they were when the last one was
    accepted. ``contents`` holds the chunks of the loaded layers, ``taken`` those of the layers
    that are being loaded, which replace them.
    """

    model: str = ''
    version: int = 0
    load_sequence: int = 0
    loading: bool = False
    load_s: float = 0
    staged: dict[int, bytes] = field(default_factory=dict)
    taken_digest: str = ''
    loaded_digest: str = ''
    loaded_layers: range = range(LAYERS)
    contents: dict[int, bytes] = field(default_factory=dict)
    taken: dict[int, bytes] = field(default_factory=dict)
    taken_layers: range = range(LAYERS)

    def layers(self) -> list[dict[str, int]]:
        """Return the loaded layers in the format of a report.

        :return: JSON values.
        """
        if not self.version:
            return []
        layers = self.loaded_layers
        return [{'from': layers.start, 'to': layers.stop, 'version': self.version}]

    def models(self) -> list[dict[str, Any]]:
        """Return the loaded models in the format of a report.

        :return: JSON values.
        """
        return [{'name': self.model, 'version': self.version}] if self.version else []

    def begin_load(self, order: dict[str, Any]) -> HTTPStatus:
        """Take the staged chunks of the ordered layers, but for those of the version it has.

        An order that leaves out loaded layers drops them at once.

        :param order: the order, with the version, the layers and the expected sequence number.
        :return: the HTTP status.
        """
        expected_sequence = order.get('precondition', self.load_sequence)
        if self.loading or expected_sequence != self.load_sequence:
            return HTTPStatus.CONFLICT
        layers = range(order.get('from', 0), order.get('to', LAYERS))
        if not layers or layers.start < 0 or layers.stop > LAYERS:
            return HTTPStatus.BAD_REQUEST
        is_same_version = order['version'] == self.version
        if is_same_version and layers == self.loaded_layers:
            return HTTPStatus.OK
        kept = self.loaded_layers if is_same_version else range(0)
        self.taken = {
            layer: self.contents.get(layer, b'') if layer in kept else self.staged_content(layer)
            for layer in layers
        }
        self.taken_layers = layers
        self.taken_digest = _digest(self.taken)
        self.load_sequence += 1
        if set(layers) <= set(kept):
            self.finish_load(self.version)
        else:
            self.loading = True
        return HTTPStatus.ACCEPTED

    def finish_load(self, version: int) -> None:
        """Replace the loaded layers by those that were taken.

        :param version: the version of the accepted order.
        """
        self.contents = self.taken
        self.loaded_layers = self.taken_layers
        self.loaded_digest = self.taken_digest
        self.version = version
        self.loading = False

    def staged_content(self, layer: int) -> bytes:
        """Return the staged chunks of a layer.

        :param layer: the layer.
        :return: their bytes.
        """
        count = max(self.staged, default=-1) + 1
        chunks = range(layer * count // LAYERS, (layer + 1) * count // LAYERS)
        return b''.join(self.staged.get(index, b'') for index in chunks)


def _digest(contents: dict[int, bytes]) -> str:
    return hashlib.sha256(b''.join(content for _, content in sorted(contents.items()))).hexdigest()


__all__ = (
    'LAYERS',
    'EngineWeights',
)
