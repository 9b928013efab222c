"""Ranges of the layers of a model."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LayerRange:
    """Consecutive layers of a model, from ``first`` up to but not including ``end``."""

    first: int
    end: int

    def rest(self, count: int) -> LayerRange:
        """Return layers outside of this range: those after it, or those before it if none are.

        :param count: number of layers of the model.
        :return: the layers.
        """
        return LayerRange(self.end, count) if self.end < count else LayerRange(0, self.first)


#: Layers of an engine that has no usable range of them.
NO_LAYERS = LayerRange(0, 0)


def are_all_layers(layers: LayerRange | None, count: int) -> bool:
    """Return whether loaded layers are all layers of a model.

    :param layers: the layers, None if they are unknown.
    :param count: number of layers of the model, 0 if that is unknown.
    :return: whether no layer is known to be missing.
    """
    return layers is None or not count or layers == LayerRange(0, count)


__all__ = (
    'NO_LAYERS',
    'LayerRange',
    'are_all_layers',
)
