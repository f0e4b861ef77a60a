"""Settings that change while a process runs."""

import os
import signal

import trio

from snipelead.daemons.events import SETTINGS_REFUSED
from snipelead.daemons.events import SETTINGS_RELOADED
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event

__all__ = ['watch_settings']

# The file may change without a signal; a look at its status is cheap.
CHECK_INTERVAL_S = 1.0


async def watch_settings(daemon, load, path):
    """Hand changed settings to a daemon, until cancelled.

    Parameters
    ----------
    daemon : object
        Its ``reload`` takes the new settings.
    load : callable
        Reads the settings.
    path : str
        File that ``load`` reads.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        # The file may have changed since it was loaded for the start.
        seen = _stamp(path)
        _reload(daemon, load, told=False)
        while True:
            told = False
            with trio.move_on_after(CHECK_INTERVAL_S):
                await anext(aiter(signals))
                told = True
            stamp = _stamp(path)
            if told or stamp != seen:
                seen = stamp
                _reload(daemon, load, told)


def _stamp(path):
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next look finds it.
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)


def _reload(daemon, load, told):
    try:
        daemon.reload(load())
    except SnipeleadError as error:
        log_event(SETTINGS_REFUSED, code=error.code, error=error.message)
    else:
        log_event(SETTINGS_RELOADED, by_signal=told)
