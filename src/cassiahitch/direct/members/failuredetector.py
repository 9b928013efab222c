"""Detection of entries that no longer reply, by probes.

An entry that does not reply to a probe is probed again, by this entry and by a few others, since
it may be unreachable only from here. It counts as silent if no reply follows.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cassiahitch.direct.members.gossipmessages import IndirectProbe, OutgoingMessage, Probe

if TYPE_CHECKING:
    from cassiahitch.direct.members.memberregistry import MemberRegistry
    from cassiahitch.direct.members.messagebuilder import MessageBuilder
    from cassiahitch.wire.datagrammessages import MemberNews

#: Seconds without a reply after which other entries are asked to probe too, and their number.
INDIRECT_PROBE_AFTER_S = 0.2
INDIRECT_PROBERS = 2
#: Seconds without a reply to a probe after which an entry counts as silent.
SILENT_AFTER_S = 0.7


@dataclass(slots=True)
class FailureDetector:
    """Probes the other entries of the region, and decides which of them are silent.

    ``mark_silent`` is called with the name of such an entry and the time in seconds, and returns
    whether it was not silent before. ``probes`` and ``indirect_probes`` hold the probes without a
    reply by their numbers, and ``probe_order`` the entries that are left in the current round.
    """

    registry: MemberRegistry
    builder: MessageBuilder
    rng: random.Random
    mark_silent: Callable[[str, float], bool]
    probes: dict[int, Probe] = field(default_factory=dict)
    indirect_probes: dict[int, IndirectProbe] = field(default_factory=dict)
    probe_order: list[str] = field(default_factory=list)

    def probe_next(self, now: float) -> list[OutgoingMessage]:
        """Probe the next entry; each round covers all entries in random order.

        :param now: current time in seconds.
        :return: what to send.
        """
        live = {state.name: state for state in self.registry.live_members()}
        if not any(name in live for name in self.probe_order):
            self.probe_order = list(live)
            self.rng.shuffle(self.probe_order)
        while self.probe_order:
            state = live.get(self.probe_order.pop())
            if state is not None:
                number = next(self.builder.numbers)
                self.probes[number] = Probe(state.name, state.address, now)
                message = replace(self.builder.build(now), number=number, asks=True)
                return [OutgoingMessage(message, state.address)]
        return []

    def check_probes(self, now: float) -> tuple[list[OutgoingMessage], int]:
        """Repeat probes without a reply, and mark entries as silent once they time out.

        :param now: current time in seconds.
        :return: what to send, and how many entries became silent.
        """
        messages: list[OutgoingMessage] = []
        silent_count = 0
        for number, probe in tuple(self.probes.items()):
            age_s = now - probe.sent_at
            if age_s >= SILENT_AFTER_S:
                self.probes.pop(number)
                silent_count += self.mark_silent(probe.name, now)
            elif age_s >= INDIRECT_PROBE_AFTER_S and not probe.indirect_requested:
                probe.indirect_requested = True
                repeated = replace(self.builder.build(now), number=number, asks=True)
                messages += [
                    OutgoingMessage(repeated, probe.address),
                    *self.request_indirect_probes(number, probe, now),
                ]
        for number, indirect_probe in tuple(self.indirect_probes.items()):
            if now - indirect_probe.sent_at >= SILENT_AFTER_S:
                self.indirect_probes.pop(number)
        return messages, silent_count

    def request_indirect_probes(
        self, number: int, probe: Probe, now: float
    ) -> list[OutgoingMessage]:
        """Ask other entries to probe one that may be unreachable only from this entry.

        :param number: number of the probe.
        :param probe: the probe without a reply.
        :param now: current time in seconds.
        :return: what to send.
        """
        others = [other for other in self.registry.live_members() if other.name != probe.name]
        probers = self.rng.sample(others, min(INDIRECT_PROBERS, len(others)))
        message = replace(self.builder.build(now), number=number, target=probe.address)
        return [OutgoingMessage(message, prober.address) for prober in probers]

    def probe_on_behalf(self, received: MemberNews, requester: str, now: float) -> OutgoingMessage:
        """Probe an entry on behalf of another one.

        :param received: the request.
        :param requester: address of the entry that requested it.
        :param now: current time in seconds.
        :return: the probe.
        """
        number = next(self.builder.numbers)
        self.indirect_probes[number] = IndirectProbe(received.number, requester, now)
        return OutgoingMessage(
            replace(self.builder.build(now), number=number, asks=True), received.target
        )

    def forward_probe_reply(self, received: MemberNews, now: float) -> list[OutgoingMessage]:
        """Forward the reply to an indirect probe to the entry that requested it.

        :param received: the reply.
        :param now: current time in seconds.
        :return: what to send.
        """
        indirect_probe = None if received.asks else self.indirect_probes.pop(received.number, None)
        if indirect_probe is None or not received.members:
            return []
        # The newer state of the probed entry proves to the requester that it is alive.
        message = self.builder.build(now, received.members[:1])
        return [
            OutgoingMessage(
                replace(message, number=indirect_probe.number), indirect_probe.requester
            )
        ]

    def confirm_alive(self, name: str) -> None:
        """Remove the outstanding probes of an entry that has sent a message.

        :param name: the entry.
        """
        for number, probe in tuple(self.probes.items()):
            if probe.name == name:
                self.probes.pop(number)


__all__ = ('FailureDetector',)
