"""Reports of a region to the other regions, which only its gateways send."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.members.gossipmessages import OutgoingMessage
from cassiahitch.weights.tree import rendezvous_order

if TYPE_CHECKING:
    from cassiahitch.direct.members.memberregistry import MemberRegistry
    from cassiahitch.direct.members.messagebuilder import MessageBuilder
    from cassiahitch.direct.members.regions import RegionRegistry

#: Entries of a region that report to other regions.
GATEWAYS = 2


@dataclass(slots=True)
class RegionReporter:
    """Sends messages to one entry of each other region."""

    registry: MemberRegistry
    regions: RegionRegistry
    builder: MessageBuilder
    rng: random.Random

    def report(self, now: float) -> list[OutgoingMessage]:
        """Report this region to an entry of each other region, if this entry is a gateway.

        :param now: current time in seconds.
        :return: what to send.
        """
        if not self.is_gateway():
            return []
        # Without a live entry in its own region, the gateway requests a reply that names some.
        return self.messages(now, asks=not self.registry.live_members())

    def is_gateway(self) -> bool:
        """Return whether this entry reports its region to the other ones.

        :return: whether it is one of the first live entries of its region.
        """
        own = self.registry.own
        names = rendezvous_order(
            0, tuple(other.name for other in (own, *self.registry.live_members()))
        )
        return own.name in names[:GATEWAYS]

    def messages(self, now: float, *, asks: bool) -> list[OutgoingMessage]:
        """Return a message to an entry of each other region.

        :param now: current time in seconds.
        :param asks: whether the receivers are to reply.
        :return: what to send.
        """
        message = replace(
            self.builder.build(now, remote=True), number=next(self.builder.numbers), asks=asks
        )
        addresses = (self.choose_address(region, now) for region in self.other_regions())
        return [OutgoingMessage(message, address) for address in addresses if address]

    def other_regions(self) -> tuple[str, ...]:
        """Return the other regions that may have entries.

        :return: their names, sorted.
        """
        names = {
            candidate.region for candidate in self.registry.addresses.values()
        } | self.regions.snapshots.keys()
        return tuple(sorted(names - {'', self.registry.own.region}))

    def choose_address(self, region: str, now: float) -> str:
        """Choose an entry of another region at random.

        :param region: the region.
        :param now: current time in seconds.
        :return: its address, empty if there is none.
        """
        live = tuple(endpoint.address for endpoint in self.regions.endpoints(now, region))
        addresses = live or self.registry.addresses_of(region)
        return self.rng.choice(addresses) if addresses else ''


__all__ = ('RegionReporter',)
