"""Field types of the settings, which convert text, and paths of files, to values."""

from __future__ import annotations

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BeforeValidator, Field, SecretBytes, ValidationInfo

from cassiahitch.resources.models import Digest
from cassiahitch.util.endpoints import MAX_PORT, Endpoint, parse_endpoint
from cassiahitch.util.files import read_bounded

MAX_SECRET_BYTES = 4096
MIN_SECRET_BYTES = 32
MAX_DIGESTS = 1024
MAX_DIGEST_FILE_BYTES = 128 * 1024


def _resolve(path: str, info: ValidationInfo) -> Path:
    folder = (info.context or {}).get('folder', Path())
    return Path(folder, path)


def _read_secret(value: object, info: ValidationInfo) -> object:
    if not isinstance(value, str):
        return value
    secret = read_bounded(_resolve(value, info), MAX_SECRET_BYTES).strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f'the secret in the file has fewer than {MIN_SECRET_BYTES} bytes')
    return secret


def _read_digests(value: object, info: ValidationInfo) -> object:
    if not isinstance(value, str):
        return value
    content = read_bounded(_resolve(value, info), MAX_DIGEST_FILE_BYTES)
    return content.decode('ascii', 'replace').split()


def _read_endpoint(value: object) -> object:
    if isinstance(value, str):
        return parse_endpoint(value)
    return value


def _check_address(address: str) -> str:
    return str(ip_address(address))


#: A secret; the settings file gives the path of the file with the secret.
SecretFile = Annotated[SecretBytes, BeforeValidator(_read_secret, json_schema_input_type=str)]
#: Digests, given as a list or as the path of a file with one digest on each line.
DigestList = Annotated[
    tuple[Digest, ...],
    Field(max_length=MAX_DIGESTS),
    BeforeValidator(_read_digests, json_schema_input_type=list[str] | str),
]
#: An endpoint, given as ``address:port``.
EndpointText = Annotated[Endpoint, BeforeValidator(_read_endpoint, json_schema_input_type=str)]
#: An IP address.
Address = Annotated[str, AfterValidator(_check_address)]
#: A port; 0 selects any free port.
Port = Annotated[int, Field(ge=0, le=MAX_PORT)]
#: The URL of an HTTP service.
Url = Annotated[str, Field(pattern=r'^https?://[^\s/?#@]+(/[^\s?#]*)?$', max_length=1024)]

__all__ = (
    'Address',
    'DigestList',
    'EndpointText',
    'Port',
    'SecretFile',
    'Url',
)
