"""The replicas of all services, as the platform's list and own evidence name them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cassiahitch.util.endpoints import Endpoint

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

#: Seconds after the return of the list for which replicas that lapsed meanwhile count as live.
REGISTRATION_S = 2.0
#: Seconds without an answer of the list after which it counts as away.
AWAY_AFTER_S = 1.5


@dataclass(frozen=True, slots=True)
class Replica:
    """One incarnation of a backend server.

    ``weights`` maps each model that is whole on it to the version. ``born_ms`` is the Unix time
    of its start, 0 if the list does not say it.
    """

    id: str
    service: str
    endpoint: Endpoint
    failure_domain: str
    slots: int
    draining: bool = False
    born_ms: int = 0
    weights: tuple[tuple[str, int], ...] = ()

    @property
    def key(self) -> str:
        """Name of this incarnation; an id may be used again."""
        return f'{self.id}@{self.born_ms}'

    def version(self, model: str) -> int:
        """Return the version of a model that is loaded.

        :param model: the model.
        :return: the version, 0 if none is whole.
        """
        return dict(self.weights).get(model, 0)


@dataclass(slots=True)
class ReplicaRegistry:
    """Replicas that may be used.

    While the list is away, and shortly after its return, an entry that vanished may only have
    lapsed, so its replica stays usable until own evidence speaks against it.
    """

    replicas: dict[str, Replica] = field(default_factory=dict)
    lapsed: dict[str, float] = field(default_factory=dict)
    heard_at: float | None = None
    back_at: float = -REGISTRATION_S

    def heard(self, asked_at: float, now: float) -> None:
        """Note an answer of the list.

        :param asked_at: when it was asked, in seconds.
        :param now: seconds.
        """
        if self.heard_at is not None and asked_at - self.heard_at > AWAY_AFTER_S:
            self.back_at = now
        self.heard_at = now

    def replace(self, listed: Iterable[Replica], now: float) -> None:
        """Take in the whole list.

        :param listed: all replicas that it names.
        :param now: seconds.
        """
        named = {replica.id: replica for replica in listed}
        for gone in self.replicas.keys() - named.keys():
            self.remove(gone, now)
        for replica in named.values():
            self.update(replica)

    def update(self, replica: Replica) -> None:
        """Take in one replica.

        :param replica: what the list says of it.
        """
        self.replicas[replica.id] = replica
        self.lapsed.pop(replica.id, None)

    def remove(self, replica_id: str, now: float) -> None:
        """Take in that the list no longer names a replica.

        :param replica_id: its id.
        :param now: seconds.
        """
        if replica_id not in self.replicas:
            return
        if now - self.back_at < REGISTRATION_S:
            self.lapsed.setdefault(replica_id, self.back_at + REGISTRATION_S)
            return
        self.replicas.pop(replica_id)
        self.lapsed.pop(replica_id, None)

    def expire(self, now: float) -> None:
        """Forget the replicas that did not register again in time.

        :param now: seconds.
        """
        for replica_id, until in tuple(self.lapsed.items()):
            if now >= until:
                self.lapsed.pop(replica_id)
                self.replicas.pop(replica_id, None)

    def usable(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service that may get new requests.

        :param service: the service.
        :return: replicas that do not drain.
        """
        return tuple(
            replica
            for replica in self.replicas.values()
            if replica.service == service and not replica.draining
        )

    def by_key(self) -> Mapping[str, Replica]:
        """Return all replicas by the names of their incarnations.

        :return: replicas.
        """
        return {replica.key: replica for replica in self.replicas.values()}


__all__ = (
    'AWAY_AFTER_S',
    'REGISTRATION_S',
    'Replica',
    'ReplicaRegistry',
)
