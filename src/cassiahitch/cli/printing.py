"""Output of commands as plain lines and files."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError

if TYPE_CHECKING:
    from pathlib import Path


def print_line(text: str) -> None:
    """Print a line and flush standard output.

    :param text: the line, without its line feed.
    """
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def write_file(path: Path, content: bytes) -> None:
    """Write a file that the command line names.

    :param path: path of the file.
    :param content: the content of the file.
    :raises CassiahitchError: ``usage_invalid`` if the file cannot be written.
    """
    try:
        path.write_bytes(content)
    except OSError as error:
        detail = f'cannot write {path}: {error.strerror}'
        raise CassiahitchError(Code.usage_invalid, detail) from None


__all__ = (
    'print_line',
    'write_file',
)
