"""Names of the platform's headers, API paths, tables and keys."""

from __future__ import annotations

from types import MappingProxyType

#: Identifier of one attempt of a caller; the backend server repeats it in its response.
ATTEMPT_ID = 'X-Cassiahitch-Attempt-Id'
#: Time for which the caller still waits, in milliseconds.
DEADLINE_MS = 'X-Cassiahitch-Deadline-Ms'
#: API key of the caller's organisation.
API_KEY = 'X-Cassiahitch-Key'
#: Name of the organisation, for the backend server.
ORGANISATION = 'X-Cassiahitch-Tenant'
#: Signature of the backend server on its response.
RESPONSE_SEAL = 'X-Cassiahitch-Response-Seal'
#: Set if the backend server did not run the request.
NOT_EXECUTED = 'X-Cassiahitch-Not-Executed'
#: Is ``1`` in all responses of a backend server that is stopping.
SERVER_LEAVING = 'Server-Leaving'
#: Requests per second that a backend server accepts from all hosts together; it is in all responses
#: of the backend server while the limit applies.
SERVER_LIMIT = 'Server-Limit'
#: Time for which a backend server stays cold, in milliseconds.
COLD_MS = 'X-Cassiahitch-Cold-Ms'
#: Identifier of the replica that the request is for; any other one refuses the request.
EXPECTED_REPLICA = 'X-Cassiahitch-Expect-Instance'
#: Required version of the weights; a replica with another one refuses the request.
EXPECTED_VERSION = 'X-Cassiahitch-Expect-Version'
#: Priority in the queue of a backend server, 0 (first) to 9.
QUEUE_RANK = 'X-Cassiahitch-Request-Priority'
#: Model that a request is for.
MODEL = 'X-Cassiahitch-Model'
#: Number of tokens of the prompt and largest number of tokens of the response.
TOKEN_COUNTS = 'X-Cassiahitch-Token-Count'
#: Segments of the prompt in their order, as comma-separated ``ID:TOKENS``, the ids in hexadecimal.
PROMPT_SEGMENTS = 'X-Cassiahitch-Prompt-Prefix'
#: Number of tokens of the response that the caller expects.
EXPECTED_TOKENS = 'X-Cassiahitch-Length-Hint'
#: Segments of the prompt in order, as ``ID:TOKENS`` separated by commas; the last one belongs to
#: the request or its session.
PROMPT_SEGMENTS = 'X-Cassiahitch-Prompt-Prefix'
#: Identifier of the last event that the caller has received.
LAST_EVENT = 'Last-Event-Id'

#: Number of the store's era in all of its responses; a restore from an older copy begins a new one.
STORE_ERA = 'Store-Era'

#: Query parameter with the position of a chunk; the platform calls it a count.
CHUNK_INDEX = 'sampleCount'

READY_PATH = '/v1/ready'
ADDRESSES_PATH = '/v1/lookup'
READ_ROWS_PATH = '/v1/rows-get'
READ_CHANGES_PATH = '/v1/rows-feed'
COMMIT_PATH = '/v1/rows-tx'
REPORT_PATH = '/v1/report'
ORDER_PATH = '/v1/order'
MANIFEST_PATH = '/v1/manifest'
ORIGIN_CHUNK_PATH = '/v1/piece'
STORE_CHUNK_PATH = '/v1/stage-put'
READ_CHUNK_PATH = '/v1/stage-get'

#: Table with the configuration and the versions that the operator declares.
OPERATOR_TABLE = 'op'
#: Table in which backend servers register themselves.
REPLICA_TABLE = 'servers'
CONFIGURATION_KEY = 'config'
#: Prefix of the keys of declared versions of weights.
VERSION_PREFIX = 'version/'
#: Prefix of the keys of evacuated failure domains; the row exists while one is evacuated.
EVACUATION_PREFIX = 'evacuate/'

#: Repeat policy of each of the platform's kinds of route.
REPEAT_POLICIES = MappingProxyType(
    {'idempotent': 'idempotent', 'non_idempotent': 'once', 'streaming': 'stream'}
)

__all__ = (
    'ADDRESSES_PATH',
    'API_KEY',
    'ATTEMPT_ID',
    'CHUNK_INDEX',
    'COLD_MS',
    'COMMIT_PATH',
    'CONFIGURATION_KEY',
    'DEADLINE_MS',
    'EVACUATION_PREFIX',
    'EXPECTED_REPLICA',
    'EXPECTED_TOKENS',
    'EXPECTED_VERSION',
    'LAST_EVENT',
    'PROMPT_SEGMENTS',
    'SERVER_LEAVING',
    'SERVER_LIMIT',
    'MANIFEST_PATH',
    'MODEL',
    'NOT_EXECUTED',
    'OPERATOR_TABLE',
    'ORDER_PATH',
    'ORGANISATION',
    'PROMPT_SEGMENTS',
    'ORIGIN_CHUNK_PATH',
    'QUEUE_RANK',
    'READY_PATH',
    'READ_CHANGES_PATH',
    'READ_CHUNK_PATH',
    'READ_ROWS_PATH',
    'REPEAT_POLICIES',
    'REPLICA_TABLE',
    'REPORT_PATH',
    'RESPONSE_SEAL',
    'STORE_CHUNK_PATH',
    'STORE_ERA',
    'TOKEN_COUNTS',
    'VERSION_PREFIX',
)
