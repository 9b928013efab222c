"""Command that runs an entry of the direct path."""

from __future__ import annotations

from pathlib import Path

from cassiahitch.cli.directrole import run_direct
from cassiahitch.cli.role_runner import run_until_stopped
from cassiahitch.direct.entry import DirectEntry
from cassiahitch.platform.adapter import Platform
from cassiahitch.settings.direct import DirectEntrySettings
from cassiahitch.stores.http_client import HttpClient


def direct_entry(settings: Path, *, check: bool = False) -> int:
    """Serve callers whose requests go to backend servers directly.

    :param settings: settings in YAML.
    :param check: only validate the settings.
    :return: the exit code.
    """
    return run_direct(DirectEntrySettings, settings, _serve, check=check)


async def _serve(settings: DirectEntrySettings, path: Path) -> None:
    async with HttpClient() as caller:
        entry = DirectEntry(settings, Platform(caller, settings.store), caller, path)
        await run_until_stopped(entry, settings.name)


__all__ = ('direct_entry',)
