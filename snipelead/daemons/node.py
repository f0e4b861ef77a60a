"""The node daemon."""

import trio

from snipelead.callers.path import CallPath
from snipelead.controls.client import SyncClient
from snipelead.metrics import NodeMetrics
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.targets.leases import expire_targets
from snipelead.targets.local import LocalTargets
from snipelead.targets.reports import TargetReports

__all__ = ['NodeDaemon']


class NodeDaemon:
    """A node: holds one release and serves callers and its own target.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the process.
    transport : Transport
        Transport to controls.
    front : object
        Interfaces to callers and targets: its ``protocols``, ``is_known``
        for services of targets, and ``run``.

    Attributes
    ----------
    stopping : bool
        Whether the node was asked to stop.
    """

    def __init__(self, settings, transport, front):
        self.settings = settings
        self.front = front
        self.stopping = False
        self.metrics = NodeMetrics()
        self.holder = ReleaseHolder()
        self.directory = TargetDirectory()
        self.local = LocalTargets(
            settings.node_id,
            settings.zone,
            settings.advertised_address or settings.address,
        )
        self.client = SyncClient(
            settings, transport, self.holder, self.directory, self.local
        )
        self.path = CallPath(
            settings,
            self.holder,
            self.directory,
            self.local,
            self.client,
            self.metrics,
            protocols=front.protocols,
        )
        self.reports = TargetReports(
            self.local, front.is_known, knows_past=False
        )

    @property
    def is_ready(self):
        """Whether callers may send requests."""
        holder = self.holder
        return holder.ready and holder.current.number > 0 and not self.stopping

    def reload(self, settings):
        """Take over settings that were changed while the node runs."""
        self.client.links.add(settings.controls)

    def status(self):
        """Return what the admin interface shows of this node."""
        release = self.holder.current
        return {
            'node_id': self.settings.node_id,
            'zone': self.settings.zone,
            'ready': self.holder.ready,
            'release': release.number,
            'digest': release.digest,
            'targets': {
                name: target.entry.state.value
                for name, target in self.local.targets.items()
            },
        }

    async def run(self, stop, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until ``stop`` is set, then finish what is in flight.

        Parameters
        ----------
        stop : trio.Event
            Asks for a graceful stop.
        task_status : trio.TaskStatus
            Told once the node accepts connections.
        """
        settings = self.settings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                expire_targets,
                self.local,
                settings.timings.announce_lease_ms,
            )
            await nursery.start(self.path.run)
            await nursery.start(self.front.run, self)
            await nursery.start(self.client.run)
            task_status.started()
            await stop.wait()
            self.stopping = True
            await self.path.linger()
            await self._leave()
            nursery.cancel_scope.cancel()

    async def _leave(self):
        self.reports.leave()
        async with trio.open_nursery() as nursery:
            # Leaving gives up by itself if no control can be reached.
            nursery.start_soon(self.client.leave)
            await self.path.drain()
