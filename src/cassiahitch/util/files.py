"""Reading of files with a size limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def read_bounded(path: Path, max_bytes: int) -> bytes:
    """Read a file of limited size.

    :param path: path of the file.
    :param max_bytes: largest accepted size.
    :return: content of the file.
    :raises ValueError: if the file cannot be read or is too large.
    """
    try:
        with path.open('rb') as file:
            content = file.read(max_bytes + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', error)
        raise ValueError(f'cannot read {path}: {reason}') from None
    if len(content) > max_bytes:
        raise ValueError(f'{path} is larger than {max_bytes} bytes')
    return content


__all__ = ('read_bounded',)
