"""Requests with prompt segments, and engines, for tests of the guard on segments."""

from __future__ import annotations

from cassiahitch.direct.api import Call, CallerRequest, Generation
from cassiahitch.direct.state.catalogue import Organisation
from cassiahitch.direct.state.replicas import Replica
from cassiahitch.util.endpoints import Endpoint

SERVICE = 'drafts'


def make_call(*segments: str, organisation: str = '') -> Call:
    """Return a request with shared segments."""
    generation = Generation('m', 100, 10, 10, segments)
    request = CallerRequest('POST', '/', 'h', (), b'', 'a1', generation=generation)
    owner = Organisation(organisation) if organisation else None
    return Call(request, 0, service=SERVICE, organisation=owner)


def make_engine(replica_id: str) -> Replica:
    """Return an engine of the service."""
    return Replica(replica_id, SERVICE, Endpoint('10.0.0.1', 1), 'north-1', 4, born_ms=1)


__all__ = (
    'SERVICE',
    'make_call',
    'make_engine',
)
