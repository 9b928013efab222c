"""Commands of operators."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from pydantic import SecretStr, TypeAdapter, ValidationError

from cassiahitch.cli.applying import AppliedResource, apply_resource, read_resources
from cassiahitch.cli.client import OperatorClient, Target
from cassiahitch.cli.exit_codes import ExitCode
from cassiahitch.cli.rendering import (
    Output,
    mapping_tables,
    print_json,
    print_table,
    resources_table,
)
from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError, SettingsError
from cassiahitch.resources.models import KINDS, Drain, Resource
from cassiahitch.settings.fields import Url
from cassiahitch.util.files import read_bounded

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from cassiahitch.cli.responses import ResourceResponse

MAX_TOKEN_BYTES = 4096
URL_ADAPTER: TypeAdapter[str] = TypeAdapter(Url)
KIND_NAMES = tuple(kind.__name__ for kind in KINDS)

ResultType = TypeVar('ResultType')


def apply(
    file: Path,
    *,
    entry: list[str],
    token_file: Path,
    output: Output = Output.table,
) -> int:
    """Bring resources to what a file declares.

    :param file: YAML with one resource in each document.
    :param entry: URLs of entries, asked in this order until one answers.
    :param token_file: file that holds the operator's token.
    :param output: form of the output.
    :return: the exit code.
    """
    resources = read_resources(file)
    target = parse_target(entry, token_file)
    run_with_client(target, lambda client: _apply_all(client, resources, output))
    return ExitCode.fine


def get(
    kind: str,
    name: str = '',
    *,
    entry: list[str],
    token_file: Path,
    output: Output = Output.table,
) -> int:
    """Show a resource, or all of a kind, with the state that they are in.

    :param kind: the kind, such as Deployment.
    :param name: the name; all if it is left out.
    :param entry: URLs of entries, asked in this order until one answers.
    :param token_file: file that holds the operator's token.
    :param output: form of the output.
    :return: the exit code.
    """
    known = find_kind(kind)
    target = parse_target(entry, token_file)
    answers: tuple[ResourceResponse, ...]
    if name:
        answers = (run_with_client(target, lambda client: client.get(known, name)),)
    else:
        answers = run_with_client(target, lambda client: client.list(known))
    if output is Output.json:
        print_json(answers)
    else:
        print_table(resources_table(answers))
    return ExitCode.fine


def delete(
    kind: str,
    name: str,
    *,
    entry: list[str],
    token_file: Path,
    output: Output = Output.table,
) -> int:
    """Delete a resource.

    :param kind: its kind.
    :param name: its name.
    :param entry: URLs of entries, asked in this order until one answers.
    :param token_file: file that holds the operator's token.
    :param output: form of the output.
    :return: the exit code.
    """
    known = find_kind(kind)
    run_with_client(parse_target(entry, token_file), lambda client: _delete(client, known, name))
    _print_outcome(output, {'kind': known, 'name': name, 'outcome': 'deleted'})
    return ExitCode.fine


def watch(
    kind: str,
    *,
    entry: list[str],
    token_file: Path,
    output: Output = Output.table,
    after: int = 0,
    count: int = 0,
) -> int:
    """Print the changes of a kind as they are accepted.

    :param kind: the kind.
    :param entry: URLs of entries, asked in this order until one answers.
    :param token_file: file that holds the operator's token.
    :param output: form of the output.
    :param after: only changes after this revision.
    :param count: end after so many changes; 0 goes on until it is interrupted.
    :return: the exit code.
    """
    known = find_kind(kind)
    target = parse_target(entry, token_file)
    run_with_client(target, lambda client: _watch(client, known, after, count, output))
    return ExitCode.fine


def status(*, entry: list[str], token_file: Path, output: Output = Output.table) -> int:
    """Show which nodes live and which revision they have in force.

    :param entry: URLs of entries, asked in this order until one answers.
    :param token_file: file that holds the operator's token.
    :param output: form of the output.
    :return: the exit code.
    """
    answer = run_with_client(parse_target(entry, token_file), lambda client: client.status())
    content = answer.model_dump(mode='json')
    if output is Output.json:
        print_json(content)
        return ExitCode.fine
    for table in mapping_tables('status', content):
        print_table(table)
    return ExitCode.fine


def drain(
    host: str,
    *,
    entry: list[str],
    token_file: Path,
    output: Output = Output.table,
) -> int:
    """Take a host out of service without cutting its requests.

    :param host: the name of the host.
    :param entry: URLs of entries, asked in this order until one answers.
    :param token_file: file that holds the operator's token.
    :param output: form of the output.
    :return: the exit code.
    """
    try:
        resource = Drain(name=host, host=host)
    except ValidationError:
        raise CassiahitchError(Code.usage_invalid, f'{host} is not the name of a host') from None
    target = parse_target(entry, token_file)
    run_with_client(target, lambda client: _apply_all(client, (resource,), output))
    return ExitCode.fine


def parse_target(entry: list[str], token_file: Path) -> Target:
    """Check the options that all commands of operators have.

    :param entry: URLs of entries.
    :param token_file: file that holds the operator's token.
    :return: the entries and the token.
    :raises CassiahitchError: ``usage_invalid`` for an invalid URL.
    :raises SettingsError: ``settings_missing`` or ``settings_invalid`` for the token.
    """
    if not entry:
        raise CassiahitchError(Code.usage_invalid, '--entry names no entry')
    return Target(tuple(_check_url(url) for url in entry), _read_token(token_file))


def find_kind(text: str) -> str:
    """Return the kind of resource that a text names.

    :param text: the name of a kind, in any case.
    :return: the kind.
    :raises CassiahitchError: ``unknown_kind`` if there is none.
    """
    for kind in KIND_NAMES:
        if kind.lower() == text.lower():
            return kind
    raise CassiahitchError(Code.unknown_kind, f'{text} is none of {", ".join(KIND_NAMES)}')


def run_with_client(
    target: Target,
    action: Callable[[OperatorClient], Awaitable[ResultType]],
) -> ResultType:
    """Run an action with a client that is closed afterwards.

    :param target: the entries and the token.
    :param action: what to do.
    :return: what the action returned.
    """
    return asyncio.run(_run_with_client(target, action))


async def _run_with_client(
    target: Target,
    action: Callable[[OperatorClient], Awaitable[ResultType]],
) -> ResultType:
    async with OperatorClient(target) as client:
        return await action(client)


async def _apply_all(
    client: OperatorClient,
    resources: tuple[Resource, ...],
    output: Output,
) -> None:
    for resource in resources:
        _print_outcome(output, await apply_resource(client, resource))


async def _delete(client: OperatorClient, kind: str, name: str) -> None:
    current = await client.get(kind, name)
    await client.delete(kind, name, current.revision)


async def _watch(
    client: OperatorClient,
    kind: str,
    after: int,
    count: int,
    output: Output,
) -> None:
    seen = 0
    async for change in client.watch(kind, after):
        if output is Output.json:
            print_json(change)
        else:
            print_table(resources_table((change,)))
        seen += 1
        if seen == count:
            return


def _print_outcome(output: Output, outcome: AppliedResource | dict[str, str]) -> None:
    if output is Output.json:
        print_json(outcome)
    elif isinstance(outcome, AppliedResource):
        print_table(
            f'{outcome.kind} {outcome.name} {outcome.outcome} at revision {outcome.revision}'
        )
    else:
        print_table(' '.join(outcome.values()))


def _check_url(text: str) -> str:
    try:
        return URL_ADAPTER.validate_python(text).rstrip('/')
    except ValidationError:
        raise CassiahitchError(Code.usage_invalid, f'--entry: {text} is not a URL') from None


def _read_token(path: Path) -> SecretStr:
    if not path.is_file():
        raise SettingsError(Code.settings_missing, f'--token-file: there is no file {path}')
    try:
        token = read_bounded(path, MAX_TOKEN_BYTES).decode('ascii').strip()
    except ValueError:
        raise SettingsError(Code.settings_invalid, f'--token-file: {path} holds no token') from None
    if not token.isprintable() or not token:
        raise SettingsError(Code.settings_invalid, f'--token-file: {path} holds no token')
    return SecretStr(token)


__all__ = (
    'apply',
    'delete',
    'drain',
    'find_kind',
    'get',
    'parse_target',
    'run_with_client',
    'status',
    'watch',
)
