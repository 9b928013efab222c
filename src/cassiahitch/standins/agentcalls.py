"""The interface of the stand-ins of model engines to their agents, which manage the weights."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from cassiahitch.platform import names

if TYPE_CHECKING:
    from cassiahitch.standins.backends import BackendStandin
    from cassiahitch.standins.engineweights import EngineWeights

ResponseParts = tuple[int, dict[str, str], bytes]


def answer_agent_call(
    backend: BackendStandin, engine: EngineWeights, method: str, target: str, body: bytes
) -> ResponseParts | None:
    """Respond to a call of the agent, which manages the weights.

    :param backend: the backend server.
    :param engine: the weights.
    :param method: HTTP method.
    :param target: path and query.
    :param body: body of the request.
    :return: status, headers and body, or None if the request is not for the agent interface.
    """
    parts = urlsplit(target)
    index = int(parse_qs(parts.query).get(names.CHUNK_INDEX, ['-1'])[0])
    if parts.path == names.REPORT_PATH:
        return HTTPStatus.OK, {}, json.dumps(backend.report(engine)).encode()
    if parts.path.startswith(names.STORE_CHUNK_PATH):
        engine.staged[index] = body
        return HTTPStatus.OK, {}, b''
    if parts.path.startswith(names.READ_CHUNK_PATH):
        chunk = engine.staged.get(index)
        return (HTTPStatus.NOT_FOUND if chunk is None else HTTPStatus.OK), {}, chunk or b''
    if parts.path == names.ORDER_PATH and method == 'POST':
        return backend.order(engine, json.loads(body)), {}, b''
    return None


__all__ = ('answer_agent_call',)
