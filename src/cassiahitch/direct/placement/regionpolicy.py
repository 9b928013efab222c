"""The regions in which a request may be served."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cassiahitch.direct.api import Call


@dataclass(frozen=True, slots=True)
class RegionPolicy:
    """Restrictions of a request to regions, each of which applies.

    A restriction without regions allows all of them.
    """

    restrictions: tuple[frozenset[str], ...] = ()

    @property
    def is_restricted(self) -> bool:
        """Whether a restriction names any region."""
        return any(self.restrictions)

    def allows(self, region: str) -> bool:
        """Return whether replicas of a region may serve the request.

        :param region: name of the region.
        :return: whether no restriction excludes it.
        """
        return all(region in allowed for allowed in self.restrictions if allowed)

    def allowed_regions(self) -> list[str] | None:
        """Return the regions that no restriction excludes.

        :return: their names in order, None if there is no restriction.
        """
        restrictions = [allowed for allowed in self.restrictions if allowed]
        return sorted(frozenset.intersection(*restrictions)) if restrictions else None


def region_policy(call: Call) -> RegionPolicy:
    """Return the restrictions of a request by its route and its organisation.

    :param call: the request, whose route is resolved.
    :return: the policy.
    """
    restrictions = [call.require_route().allowed_regions]
    if call.organisation is not None:
        restrictions.append(call.organisation.allowed_regions)
    return RegionPolicy(tuple(restrictions))


__all__ = (
    'RegionPolicy',
    'region_policy',
)
