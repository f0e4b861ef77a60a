"""The node daemon."""

import trio

from snipelead.callers.path import CallPath
from snipelead.controls.client import SyncClient
from snipelead.daemons.process import run_process
from snipelead.metrics import NodeMetrics
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.targets.app import make_app
from snipelead.targets.leases import expire_targets
from snipelead.targets.local import LocalTargets
from snipelead.types import TargetState
from snipelead.utils.http import serve_app

__all__ = ['NodeDaemon', 'run_node']


class NodeDaemon:
    """A node: holds one release and serves callers and its own target.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the process.
    transport : Transport
        Transport to controls.
    """

    def __init__(self, settings, transport):
        self.settings = settings
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
        )

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
        app = make_app(self.local, self.metrics, self.status)
        finished = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                expire_targets,
                self.local,
                settings.timings.announce_lease_ms,
            )
            await nursery.start(self.path.run)
            await nursery.start(
                serve_app, app, settings.admin_address, finished
            )
            await nursery.start(self.client.run)
            task_status.started()
            await stop.wait()
            await self._leave()
            finished.set()
            nursery.cancel_scope.cancel()

    async def _leave(self):
        for target_id in list(self.local.targets):
            self.local.change_state(target_id, TargetState.LEAVING)
        async with trio.open_nursery() as nursery:
            # Leaving gives up by itself if no control can be reached.
            nursery.start_soon(self.client.leave)
            await self.path.drain()


async def run_node(settings):
    """Run a node process until it is told to stop."""
    await run_process(NodeDaemon, settings, node=settings.node_id)
