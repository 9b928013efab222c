"""Creates the frontend of an entry and the guard of all its connections."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from cassiahitch.direct.callers.frontend import Frontend
from cassiahitch.direct.connections.budget import ConnectionLimits
from cassiahitch.direct.connections.guard import ConnectionGuard
from cassiahitch.direct.state.catalogue import CallerLimits

if TYPE_CHECKING:
    import random

    from cassiahitch.direct.entrystate import EntryState
    from cassiahitch.direct.requests.runner import RequestRunner
    from cassiahitch.settings.direct import DirectEntrySettings


def make_frontend(
    settings: DirectEntrySettings, runner: RequestRunner, rng: random.Random
) -> Frontend:
    """Create the frontend of an entry; its guard also limits the other ports of the entry.

    :param settings: settings of the entry.
    :param runner: runs the requests.
    :param rng: source of random delays.
    :return: the frontend, which does not listen yet.
    """
    guard = ConnectionGuard(
        partial(find_connection_limits, settings, runner.entry_state),
        runner.telemetry.metrics,
        runner.telemetry.state_changed,
        rng,
    )
    return Frontend(
        runner.serve,
        runner.error_responder.fail,
        runner.error_responder.reject_malformed,
        settings.request_buffer_bytes,
        guard,
        partial(find_body_limit, runner.entry_state),
    )


def find_caller_limits(entry_state: EntryState) -> CallerLimits | None:
    """Return the limits of the configuration in force.

    :param entry_state: state of the entry.
    :return: the limits, None while there is no configuration.
    """
    return entry_state.catalogue.limits if entry_state.catalogue else None


def find_body_limit(entry_state: EntryState) -> int | None:
    """Return the size of the largest body that the configuration in force allows.

    :param entry_state: state of the entry.
    :return: the size in bytes, None while there is no configuration.
    """
    limits = find_caller_limits(entry_state)
    return limits.body_bytes if limits else None


def find_connection_limits(
    settings: DirectEntrySettings, entry_state: EntryState
) -> ConnectionLimits:
    """Return the limits of the connections of an entry.

    :param settings: settings of the entry.
    :param entry_state: state of the entry.
    :return: the limits.
    """
    limits = find_caller_limits(entry_state) or CallerLimits()
    return ConnectionLimits(
        settings.connection_bytes,
        settings.max_connections,
        limits.header_s,
        limits.idle_s,
        limits.header_bytes,
    )


__all__ = ('make_frontend',)
