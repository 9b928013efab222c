"""Reads the settings of a process again when they may have changed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Generic, TypeVar

from cassiahitch.errors import SettingsError
from cassiahitch.settings.direct import BoundSettings, DirectSettings
from cassiahitch.settings.loader import load_model

if TYPE_CHECKING:
    from cassiahitch.direct.telemetry import StateLog

#: Seconds between looks whether the file has changed.
LOOK_S = 1.0

SettingsT = TypeVar('SettingsT', bound=DirectSettings)


@dataclass(slots=True)
class SettingsWatch(Generic[SettingsT]):
    """Owns the path; bounds are put in force at once, other keys need a restart."""

    path: Path
    settings: SettingsT
    log: StateLog
    apply: Callable[[BoundSettings], None]
    modified_ns: int = 0

    async def work(self) -> None:
        """Look at the file until cancelled."""
        self.modified_ns = self.stamp()
        while True:
            await asyncio.sleep(LOOK_S)
            stamp = self.stamp()
            if stamp != self.modified_ns:
                self.modified_ns = stamp
                self.reload()

    def stamp(self) -> int:
        """Return when the file was changed.

        :return: nanoseconds, 0 if it is not there.
        """
        try:
            return self.path.stat().st_mtime_ns
        except OSError:
            # The settings in force hold until there is a file again.
            return 0

    def reload(self) -> None:
        """Read the file; one that is not valid changes nothing."""
        try:
            loaded = load_model(type(self.settings), self.path)
        except SettingsError as error:
            self.log.state_changed('settings refused', code=error.code.value, detail=error.detail)
            return
        waiting = [
            name
            for name, value in loaded
            if name != 'bounds' and value != getattr(self.settings, name)
        ]
        changed = loaded.bounds != self.settings.bounds
        if changed:
            self.apply(loaded.bounds)
        self.settings = self.settings.model_copy(update={'bounds': loaded.bounds})
        self.log.state_changed('settings reloaded', bounds_changed=changed, need_restart=waiting)


__all__ = ('SettingsWatch',)
