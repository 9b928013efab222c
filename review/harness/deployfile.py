"""Fills in the settings templates and finds the commands of the deploy file."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
VALUE = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def role(name: str) -> dict[str, Any]:
    """Return a role of the deploy file."""
    document = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return document['roles'][name]


def command(name: str) -> list[str]:
    """Return the words of the command that starts a role."""
    return role(name)['run'].split(' ')


def render(name: str, fields: dict[str, Any]) -> str:
    """Fill in the settings template of a role, as the page on deployment says."""
    template = (ROOT / role(name)['template']).read_text()
    return VALUE.sub(lambda match: _value(match, fields), SECTION.sub(_section(fields), template))


def _section(fields: dict[str, Any]) -> Any:
    def expand(match: re.Match[str]) -> str:
        entries = _lookup(fields, match[1]) or []
        parts = []
        for position, entry in enumerate(entries):
            comma = ',' if position + 1 < len(entries) else ''
            text = match[2].replace('{{,}}', comma).replace('{{.|json}}', json.dumps(entry))
            parts.append(text.replace('{{.}}', str(entry)))
        return ''.join(parts)

    return expand


def _value(match: re.Match[str], fields: dict[str, Any]) -> str:
    found = _lookup(fields, match[1])
    if match[2] or isinstance(found, dict):
        return json.dumps(found)
    return '' if found is None else str(found)


def _lookup(fields: dict[str, Any], path: str) -> Any:
    found: Any = fields
    for part in path.split('.'):
        found = found[int(part)] if isinstance(found, list) else (found or {}).get(part)
    return found
