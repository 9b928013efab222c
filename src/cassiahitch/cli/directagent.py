"""Command that runs an agent of the direct path."""

from __future__ import annotations

from pathlib import Path

from cassiahitch.cli.directrole import run_direct
from cassiahitch.cli.role_runner import run_until_stopped
from cassiahitch.direct.agent import DirectAgent
from cassiahitch.platform.adapter import Platform
from cassiahitch.settings.direct import DirectAgentSettings
from cassiahitch.stores.http_client import HttpClient


def direct_agent(settings: Path, *, check: bool = False) -> int:
    """Keep the model engine of a host at the declared weights.

    :param settings: settings in YAML.
    :param check: only validate the settings.
    :return: the exit code.
    """
    return run_direct(DirectAgentSettings, settings, _serve, check=check)


async def _serve(settings: DirectAgentSettings, path: Path) -> None:
    async with HttpClient() as caller:
        agent = DirectAgent(settings, Platform(caller, settings.store), caller, path)
        await run_until_stopped(agent, settings.name)


__all__ = ('direct_agent',)
