"""Fields of the log line of a refusal for lack of capacity, and the label of its counter."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from cassiahitch.direct.placement.returns import RefusalInputs

if TYPE_CHECKING:
    from cassiahitch.direct.placement.assignments import NoCapacity


def refusal_fields(no_capacity: NoCapacity) -> dict[str, Any]:
    """Return what decided on a refusal.

    :param no_capacity: the refusal.
    :return: fields of its log line; those of the overload only if there was pressure.
    """
    fields: dict[str, Any] = {
        'best_s': no_capacity.best_expected_s,
        'available_s': no_capacity.available_in_s,
        'limited': no_capacity.limited,
        'retry_after_s': no_capacity.retry_after_s,
    }
    if no_capacity.inputs is not None:
        fields |= asdict(no_capacity.inputs)
    return fields


def return_label(no_capacity: NoCapacity) -> str:
    """Return how the retry time of a refused caller was determined.

    :param no_capacity: the refusal.
    :return: ``slot``, ``longest`` if no slot was free, or ``random`` without a schedule.
    """
    match no_capacity.inputs:
        case None:
            return 'random'
        case RefusalInputs(has_slot=True):
            return 'slot'
        case _:
            return 'longest'


__all__ = ('refusal_fields', 'return_label')
