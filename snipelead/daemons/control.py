"""The control daemon."""

import trio

from snipelead.controls.relay import RelaySource
from snipelead.controls.service import ControlService
from snipelead.metrics import ControlMetrics
from snipelead.types import ControlRole
from snipelead.voters.voter import Voter

__all__ = ['ControlDaemon']


class ControlDaemon:
    """A control: source of releases, distribution, operators' interface.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the process.
    transport : Transport
        Transport to other processes.
    front : object
        Interface to operators; has ``run``.
    """

    def __init__(self, settings, transport, front):
        self.settings = settings
        self.front = front
        self.transport = transport
        self.metrics = ControlMetrics()
        self.source = self._make_source()
        self.service = ControlService(
            settings, self.source, transport, metrics=self.metrics
        )

    def _make_source(self):
        match self.settings.role:
            case ControlRole.VOTER:
                return Voter(self.settings, self.transport)
            case ControlRole.RELAY:
                return RelaySource(self.settings, self.transport)

    async def run(self, stop, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until ``stop`` is set.

        Parameters
        ----------
        stop : trio.Event
            Asks for a graceful stop.
        task_status : trio.TaskStatus
            Told once the control answers.
        """
        settings = self.settings
        handlers = self.source.handlers() | self.service.handlers()
        async with trio.open_nursery() as nursery:
            await nursery.start(self.source.run)
            await nursery.start(
                self.transport.serve,
                settings.listen_address or settings.address,
                handlers,
            )
            await nursery.start(self.service.run)
            async with trio.open_nursery() as front:
                await front.start(self.front.run, self, stop)
                task_status.started()
                await stop.wait()
            # The operators' requests have ended; nobody waits any more.
            await self.source.drain()
            nursery.cancel_scope.cancel()

    def reload(self, settings):
        """Take over settings that were changed while the control runs."""
        self.source.learn_peers(settings.peers)
