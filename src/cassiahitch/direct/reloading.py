"""Reloads the settings file of a process when it changes."""

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
    from cassiahitch.direct.statelog import StateLog

#: Time between two checks whether the file has changed, in seconds.
SETTINGS_POLL_INTERVAL_S = 1.0

SettingsT = TypeVar('SettingsT', bound=DirectSettings)


@dataclass(slots=True)
class SettingsWatch(Generic[SettingsT]):
    """Polls the settings file; new bounds apply at once, other settings need a restart."""

    path: Path
    settings: SettingsT
    log: StateLog
    apply: Callable[[BoundSettings], None]
    modified_ns: int = 0

    async def work(self) -> None:
        """Poll the file and reload it on changes, until cancelled."""
        self.modified_ns = self.modification_time_ns()
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            modified_ns = self.modification_time_ns()
            if modified_ns != self.modified_ns:
                self.modified_ns = modified_ns
                self.reload()

    def modification_time_ns(self) -> int:
        """Return when the file was last modified.

        :return: nanoseconds since the epoch, 0 if the file cannot be accessed.
        """
        try:
            return self.path.stat().st_mtime_ns
        except OSError:
            # The current settings stay in force while there is no file.
            return 0

    def reload(self) -> None:
        """Load the file and apply its bounds; an invalid file changes nothing."""
        try:
            loaded = load_model(type(self.settings), self.path)
        except SettingsError as error:
            self.log.state_changed('settings refused', code=error.code.value, detail=error.detail)
            return
        need_restart = [
            name
            for name, value in loaded
            if name != 'bounds' and value != getattr(self.settings, name)
        ]
        changed = loaded.bounds != self.settings.bounds
        if changed:
            self.apply(loaded.bounds)
        self.settings = self.settings.model_copy(update={'bounds': loaded.bounds})
        self.log.state_changed(
            'settings reloaded', bounds_changed=changed, need_restart=need_restart
        )


__all__ = ('SettingsWatch',)
