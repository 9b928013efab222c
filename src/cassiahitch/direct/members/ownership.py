"""Choice of the one entry that does something on behalf of all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahitch.weights.tree import rendezvous_order

if TYPE_CHECKING:
    from cassiahitch.direct.members.memberregistry import MemberRegistry
    from cassiahitch.direct.members.regions import RegionRegistry


def is_owner(task: str, registry: MemberRegistry, regions: RegionRegistry, now: float) -> bool:
    """Return whether this entry is the one that all entries choose for a task.

    First a region is chosen, since an entry knows only those of its own region by name.

    :param task: name of the task.
    :param registry: the entries of the own region.
    :param regions: the other regions.
    :param now: current time in seconds.
    :return: whether it is; two entries may be while they do not know of each other.
    """
    own = registry.own
    region = _first(task, [own.region, *regions.live_regions(now)])
    names = [own.name, *(other.name for other in registry.live_members())]
    return region == own.region and _first(task, names) == own.name


def _first(task: str, names: list[str]) -> str:
    names_by_key = {f'{task} {name}': name for name in names}
    return names_by_key[rendezvous_order(0, names_by_key)[0]]


__all__ = ('is_owner',)
