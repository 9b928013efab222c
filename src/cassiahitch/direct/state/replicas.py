"""Registry of the replicas of all services, from the platform's replica list."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.util.endpoints import Endpoint

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from cassiahitch.direct.state.layers import LayerRange

#: Seconds after an outage of the list within which replicas have to register again.
REREGISTRATION_S = 2.0
#: Seconds without a reply of the list after which an outage is assumed.
LIST_OUTAGE_AFTER_S = 1.5


@dataclass(frozen=True, slots=True)
class Replica:
    """One incarnation of a backend server.

    ``weights`` holds each loaded model and its version, and ``layers`` which of its layers are
    loaded, None if the list does not name one range. ``born_ms`` is the Unix time of the start of
    its process, 0 if the list does not contain it. ``cold_ms`` is the time for which it stays
    cold; it changes with each heartbeat and does not tell replicas apart.
    """

    id: str
    service: str
    endpoint: Endpoint
    failure_domain: str
    slots: int
    draining: bool = False
    born_ms: int = 0
    weights: tuple[tuple[str, int], ...] = ()
    layers: LayerRange | None = None
    cold_ms: float = field(default=0, compare=False)

    @property
    def key(self) -> str:
        """Identifier of this incarnation, since an id may be reused."""
        return f'{self.id}@{self.born_ms}'

    def version(self, model: str) -> int:
        """Return the loaded version of a model.

        :param model: name of the model.
        :return: the version, 0 if no layer is loaded.
        """
        return dict(self.weights).get(model, 0)

    def is_older_than(self, other: Replica) -> bool:
        """Return whether this state of a replica certainly precedes another one.

        :param other: another state of the replica with the same id.
        :return: whether it is of an earlier incarnation, or of the same one before it drained.
        """
        if self.born_ms == other.born_ms:
            return other.draining and not self.draining
        return self.born_ms < other.born_ms


@dataclass(slots=True)
class ReplicaRegistry:
    """Replicas of all services, by id.

    A registration may expire during an outage of the list although its replica is alive. Replicas
    that are missing after an outage are therefore kept for ``REREGISTRATION_S``; ``expiries`` holds
    when each of them is removed unless it has registered again. ``reloading`` holds the keys of the
    incarnations that were listed without weights or with other layers of the same version than
    before, until :meth:`take_reloading` is called.
    """

    replicas: dict[str, Replica] = field(default_factory=dict)
    expiries: dict[str, float] = field(default_factory=dict)
    replied_at: float | None = None
    recovered_at: float = -REREGISTRATION_S
    reloading: set[str] = field(default_factory=set)

    def record_reply(self, sent_at: float, now: float) -> None:
        """Record a reply of the list, and detect the end of an outage.

        :param sent_at: when the read was sent, in seconds of the event loop.
        :param now: current time of the event loop in seconds.
        """
        if now - sent_at > LIST_OUTAGE_AFTER_S:
            # An old reply, passed on by another entry, does not show that the list replies now.
            return
        if self.is_outage(sent_at):
            self.recovered_at = now
        self.replied_at = now

    def is_outage(self, now: float) -> bool:
        """Return whether the list has not replied for so long that an outage is assumed.

        A removal that arrives meanwhile is news of another process that has reached the list again
        before this one.

        :param now: a time of the event loop in seconds.
        :return: whether it is an outage at that time.
        """
        return self.replied_at is not None and now - self.replied_at > LIST_OUTAGE_AFTER_S

    def replace(self, listed: Iterable[Replica], now: float) -> None:
        """Apply the complete list.

        :param listed: all replicas of the list.
        :param now: current time in seconds.
        """
        by_id = {replica.id: replica for replica in listed}
        for missing in self.replicas.keys() - by_id.keys():
            self.remove(missing, now)
        for replica in by_id.values():
            self.update(replica)

    def update(self, replica: Replica) -> None:
        """Add or update a replica.

        :param replica: its entry in the list.
        """
        before = self.replicas.get(replica.id)
        if not replica.weights or (before is not None and _changes_layers(before, replica)):
            self.reloading.add(replica.key)
        self.replicas[replica.id] = replica
        self.expiries.pop(replica.id, None)

    def take_reloading(self, key: str) -> bool:
        """Return whether an incarnation was listed as reloading since the last call.

        :param key: key of the replica.
        :return: whether what was known of its weights before no longer holds.
        """
        was_reloading = key in self.reloading
        self.reloading.discard(key)
        return was_reloading

    def remove(self, replica_id: str, now: float) -> None:
        """Remove a replica that is no longer listed, after a delay if an outage just ended.

        :param replica_id: its id.
        :param now: current time in seconds.
        """
        if replica_id not in self.replicas:
            return
        recovered_at = now if self.is_outage(now) else self.recovered_at
        if now - recovered_at < REREGISTRATION_S:
            self.expiries.setdefault(replica_id, recovered_at + REREGISTRATION_S)
            return
        self.replicas.pop(replica_id)
        self.expiries.pop(replica_id, None)

    def expire(self, now: float) -> None:
        """Remove the replicas that did not register again in time after an outage.

        :param now: current time in seconds.
        """
        for replica_id, expires_at in tuple(self.expiries.items()):
            if now >= expires_at:
                self.expiries.pop(replica_id)
                self.replicas.pop(replica_id, None)

    def usable(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service that accept new requests.

        :param service: name of the service.
        :return: replicas that are not draining.
        """
        return tuple(
            replica
            for replica in self.replicas.values()
            if replica.service == service and not replica.draining
        )

    def by_key(self) -> Mapping[str, Replica]:
        """Return all replicas by the keys of their incarnations.

        :return: replicas by key.
        """
        return {replica.key: replica for replica in self.replicas.values()}


def _changes_layers(before: Replica, replica: Replica) -> bool:
    same_weights = (before.key, before.weights) == (replica.key, replica.weights)
    return same_weights and before.layers != replica.layers


__all__ = (
    'LIST_OUTAGE_AFTER_S',
    'REREGISTRATION_S',
    'Replica',
    'ReplicaRegistry',
)
