"""Process setup shared by all daemons: signals, logs and graceful stop."""

import gc
import signal

import trio

from snipelead.daemons.events import DAEMON_STARTED
from snipelead.daemons.events import DAEMON_STOPPED
from snipelead.daemons.events import DAEMON_STOPPING
from snipelead.daemons.events import LINES_DROPPED
from snipelead.daemons.reloading import watch_settings
from snipelead.logs import configure_logs
from snipelead.logs import flush_logs
from snipelead.logs import log_event

__all__ = ['run_process', 'tune_garbage_collector']

# A full collection takes tens of milliseconds once the process has run for a
# while, which would show in the tail latency. Collections of the youngest
# generation are cheap and reclaim almost all garbage.
GENERATION_0_THRESHOLD = 5_000
GENERATION_1_THRESHOLD = 20
GENERATION_2_THRESHOLD = 100
# Maximum delay of buffered log lines after their reader has caught up.
FLUSH_INTERVAL_S = 0.5


def tune_garbage_collector():
    """Reduce pauses of requests in flight by the garbage collector."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )


async def _handle_stop_signals(stop, *, task_status=trio.TASK_STATUS_IGNORED):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for signal_number in signals:
            name = signal.Signals(signal_number).name
            log_event(DAEMON_STOPPING, signal=name)
            stop.set()


async def run_process(
    make_daemon,
    settings,
    open_transport,
    load_settings=None,
    settings_path=None,
    **context,
):
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully.

    Parameters
    ----------
    make_daemon : callable
        Takes the settings and a transport and returns the daemon, an object
        with an asynchronous ``run(stop, task_status)`` and, if
        ``load_settings`` is given, a ``reload(settings)``.
    settings : ControlSettings, NodeSettings or TargetSettings
        Settings of the process.
    open_transport : callable
        Returns an asynchronous context manager that opens the transport to
        other processes.
    load_settings : callable or None
        Returns the reloaded settings; None for a daemon that does not reload
        its settings.
    settings_path : str or None
        Settings file read by ``load_settings``.
    **context : object
        Fields added to every log line.
    """
    configure_logs(settings.log.format, settings.log.level, **context)
    stop = trio.Event()
    async with open_transport() as transport, trio.open_nursery() as nursery:
        await nursery.start(_handle_stop_signals, stop)
        nursery.start_soon(_flush_logs_periodically)
        daemon = make_daemon(settings, transport)
        if load_settings is not None:
            nursery.start_soon(
                watch_settings, daemon, load_settings, settings_path
            )
        await nursery.start(_run_daemon, daemon, stop, nursery.cancel_scope)
        tune_garbage_collector()
        log_event(DAEMON_STARTED)
    log_event(DAEMON_STOPPED)
    flush_logs()


async def _flush_logs_periodically():
    """Write buffered log lines and log how many were dropped."""
    while True:
        await trio.sleep(FLUSH_INTERVAL_S)
        dropped = flush_logs()
        if dropped:
            log_event(LINES_DROPPED, dropped=dropped)


async def _run_daemon(
    daemon, stop, scope, *, task_status=trio.TASK_STATUS_IGNORED
):
    await daemon.run(stop, task_status=task_status)
    # Cancel the background tasks, which never end on their own.
    scope.cancel()
