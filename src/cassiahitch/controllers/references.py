"""References from a resource to the resources that it needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.resources.models import Adapter, Deployment

if TYPE_CHECKING:
    from cassiahitch.resources.models import Resource

#: Kinds of resources that may refer to others.
REFERRING_KINDS = ('Adapter', 'Deployment')


def references(resource: Resource) -> tuple[str, ...]:
    """Return the keys of the resources that a resource refers to.

    :param resource: the resource.
    :return: the keys.
    """
    match resource:
        case Adapter(model=model):
            return (f'Model/{model}',)
        case Deployment():
            return (
                f'Service/{resource.service}',
                f'Model/{resource.model}',
                *(f'Adapter/{adapter}' for adapter in resource.adapters),
                *(f'Organisation/{organisation}' for organisation in resource.organisations),
            )
        case _:
            return ()


__all__ = (
    'REFERRING_KINDS',
    'references',
)
