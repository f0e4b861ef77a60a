"""Emulated target process."""

from contextlib import nullcontext

import trio

from snipelead.daemons.process import run_process
from snipelead.emulator.target import EmulatedTarget

__all__ = ['TargetDaemon', 'run_target']


class TargetDaemon:
    """Emulated target with a graceful stop.

    Parameters
    ----------
    settings : TargetSettings
        Settings of the process.
    transport : Transport
        Unused, because targets communicate over HTTP only.

    Attributes
    ----------
    target : EmulatedTarget
        The target.
    """

    def __init__(self, settings, transport=None):
        self.target = EmulatedTarget(settings)

    async def run(self, stop, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until ``stop`` is set, then complete requests in flight."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.target.run)
            task_status.started()
            await stop.wait()
            nursery.cancel_scope.cancel()


async def run_target(settings):
    """Run an emulated target process until SIGTERM or SIGINT."""
    await run_process(
        TargetDaemon, settings, nullcontext, target=settings.target_id
    )
