"""Reloading of settings while a process runs."""

import os
import signal

import trio

from snipelead.daemons.events import SETTINGS_REFUSED
from snipelead.daemons.events import SETTINGS_RELOADED
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event

__all__ = ['watch_settings']

# The file may change without a signal; checking its status is cheap.
CHECK_INTERVAL_S = 1.0


async def watch_settings(daemon, load_settings, settings_path):
    """Reload the settings of a daemon on SIGHUP or when the file changes.

    Runs until cancelled. If the settings are invalid, the daemon keeps its
    previous settings.

    Parameters
    ----------
    daemon : object
        Object whose ``reload(settings)`` applies new settings.
    load_settings : callable
        Returns the loaded settings.
    settings_path : str
        Settings file read by ``load_settings``.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        # The file may have changed since it was loaded at the start.
        loaded_version = _read_file_version(settings_path)
        _reload_settings(daemon, load_settings, signalled=False)
        while True:
            signalled = False
            with trio.move_on_after(CHECK_INTERVAL_S):
                await anext(aiter(signals))
                signalled = True
            file_version = _read_file_version(settings_path)
            if signalled or file_version != loaded_version:
                loaded_version = file_version
                _reload_settings(daemon, load_settings, signalled)


def _read_file_version(settings_path):
    try:
        status = os.stat(settings_path)
    except OSError:
        # The file is being replaced; the next check finds it.
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)


def _reload_settings(daemon, load_settings, signalled):
    try:
        daemon.reload(load_settings())
    except SnipeleadError as error:
        log_event(SETTINGS_REFUSED, code=error.code, error=error.message)
    else:
        log_event(SETTINGS_RELOADED, by_signal=signalled)
