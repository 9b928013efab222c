"""A response whose status is outside 100 to 599 is no answer.

They guard against a replica in trouble whose invalid status reaches a caller as the status of its
request, which no caller can interpret.
"""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from direct_callers import run_site_in_virtual_time, send_request
from scripted_replicas import EVENT_TYPE, SEAL, ScriptedRequest, response, serve_script

from cassiahitch.standins.directsite import DirectSite

BODY = b'id: 1\ndata: event 1\n\n'
#: 101 switches to another protocol, which no request asks for; 199 is an interim status.
INVALID_STATUSES = ('000', '099', '20', '2000', '-20', '+200', '101', '199', '600', '700', '999')
VALID_STATUSES = ('200', '299', '404', '599')


@dataclass
class StatusReplica:
    """Sends each response with the same status line."""

    status: str

    async def respond(self, request: ScriptedRequest) -> None:
        headers = (request.attempt_line, SEAL, EVENT_TYPE)
        request.write(response(f'{self.status} Some', BODY, *headers))
        await request.settle()


def statuses_at_caller(status: str, path: str) -> tuple[int, int]:
    """Return the status that the caller gets, and how often the replicas were asked."""
    seen: list[int] = []

    async def body(site: DirectSite) -> None:
        entry = site.entries[0]
        async with serve_script(entry, StatusReplica(status).respond) as replicas:
            got = await send_request(entry, path)
            seen.extend((got.status, sum(replicas.sent_counts.values())))

    run_site_in_virtual_time(body)
    return seen[0], seen[1]


@pytest.mark.parametrize('path', ['/order/1', '/lookup/1', '/draft/1'])
@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_invalid_status_reaches_no_caller(status: str, path: str) -> None:
    got, sent = statuses_at_caller(status, path)
    assert got == 502
    assert sent == 1 or path != '/order/1'


@pytest.mark.parametrize('status', VALID_STATUSES)
def test_unusual_but_valid_status_is_forwarded(status: str) -> None:
    got, _ = statuses_at_caller(status, '/order/1')
    assert got == int(status)
