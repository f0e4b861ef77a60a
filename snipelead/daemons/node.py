"""Node process."""

import trio

from snipelead.authentication.client import LeaseClient
from snipelead.callers.call_path import CallPath
from snipelead.controls.client import SyncClient
from snipelead.controls.newest_release import NewestReleaseProof
from snipelead.metrics import NodeMetrics
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.nodes.load_reporter import LoadReporter
from snipelead.quarantine.ledger import CrashLedger
from snipelead.quotas.manager import QuotaManager
from snipelead.rollouts.coordinator import are_rollouts_enabled
from snipelead.rollouts.reporter import RolloutReporter
from snipelead.rollouts.selector import VersionSelector
from snipelead.targets.heartbeats import HeartbeatTracker
from snipelead.targets.leases import expire_targets
from snipelead.targets.local import LocalTargets
from snipelead.targets.status import TargetStatuses

__all__ = ['NodeDaemon']


class NodeDaemon:
    """Node, which routes requests from callers and serves its local target.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the process.
    transport : Transport
        Transport to controls.
    frontend : object
        Interfaces to callers and targets: attribute ``protocols``, method
        ``is_known_service(service)`` and an asynchronous
        ``run(daemon, task_status)``.

    Attributes
    ----------
    stopping : bool
        Whether a graceful stop was requested.
    metrics : NodeMetrics
        Metrics of the process.
    holder : ReleaseHolder
        Current release.
    directory : TargetDirectory
        Targets of all nodes.
    local_targets : LocalTargets
        Targets that announced themselves to this node.
    statuses : TargetStatuses
        Statuses that targets have stated in their responses.
    ledger : CrashLedger
        Evidence on requests that crash targets.
    has_rollouts : bool
        Whether the settings state a bound on rollouts.
    versions : VersionSelector
        Tells which versions of targets may be used.
    sync_client : SyncClient
        Client that receives releases and targets from the controls.
    quotas : QuotaManager
        Rate limits of customers.
    proof : NewestReleaseProof
        Proves that the node holds the newest release.
    call_path : CallPath
        Handling of requests from callers and other nodes.
    heartbeat_tracker : HeartbeatTracker
        Tracker of the heartbeats of the local target.
    """

    def __init__(self, settings, transport, frontend):
        self.settings = settings
        self.frontend = frontend
        self.stopping = False
        self.metrics = NodeMetrics()
        self.holder = ReleaseHolder()
        self.directory = TargetDirectory()
        self.local_targets = LocalTargets(
            settings.node_id,
            settings.zone,
            settings.advertised_address or settings.address,
        )
        self.statuses = TargetStatuses()
        self.ledger = CrashLedger()
        self.has_rollouts = are_rollouts_enabled(settings)
        self.versions = VersionSelector()
        self.metrics.get_rollout_requests = self.versions.count_sent
        self.sync_client = SyncClient(
            settings,
            transport,
            self.holder,
            self.directory,
            self.local_targets,
            ledger=self.ledger,
            versions=self.versions,
        )
        self.quotas = QuotaManager(
            settings,
            self.sync_client.links,
            lambda: self.local_targets.incarnation,
        )
        self.metrics.get_quota_counts = self.quotas.counts
        self.proof = NewestReleaseProof(self.sync_client.links, self.holder)
        self.call_path = CallPath(
            settings,
            self.holder,
            self.directory,
            self.local_targets,
            self.sync_client,
            self.metrics,
            protocols=frontend.protocols,
            statuses=self.statuses,
            ledger=self.ledger,
            versions=self.versions if self.has_rollouts else None,
            quotas=self.quotas,
            proof=self.proof,
        )
        self.heartbeat_tracker = HeartbeatTracker(
            self.local_targets,
            frontend.is_known_service,
            history_complete=False,
            statuses=self.statuses,
        )

    @property
    def is_ready(self):
        """Whether the node can serve requests from callers."""
        holder = self.holder
        return holder.ready and holder.current.number > 0 and not self.stopping

    def reload(self, settings):
        """Apply the ``controls`` of changed settings; ignore other changes."""
        self.sync_client.links.add(settings.controls)

    def status(self):
        """Return the status shown by the admin interface as a dictionary."""
        release = self.holder.current
        return {
            'node_id': self.settings.node_id,
            'zone': self.settings.zone,
            'ready': self.holder.ready,
            'release': release.number,
            'digest': release.digest,
            'targets': {
                name: target.entry.state.value
                for name, target in self.local_targets.targets.items()
            },
        }

    async def run(self, stop, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until ``stop`` is set, then complete requests in flight.

        Parameters
        ----------
        stop : trio.Event
            Set to request a graceful stop.
        task_status : trio.TaskStatus
            Notified once the node accepts connections.
        """
        settings = self.settings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                expire_targets,
                self.local_targets,
                settings.timings.announce_lease_ms,
            )
            await nursery.start(self.call_path.run)
            await nursery.start(self.frontend.run, self)
            await nursery.start(self.sync_client.run)
            if self.has_rollouts:
                reporter = RolloutReporter(
                    settings.node_id,
                    self.versions,
                    self.sync_client.links,
                    self.local_targets,
                )
                nursery.start_soon(reporter.run)
            if self.call_path.authenticator.leases is not None:
                nursery.start_soon(self._make_lease_client().run)
            nursery.start_soon(self._make_load_reporter().run)
            nursery.start_soon(self.quotas.run)
            nursery.start_soon(self.proof.run)
            task_status.started()
            await stop.wait()
            self.stopping = True
            await self.call_path.linger()
            await self._shut_down()
            nursery.cancel_scope.cancel()

    def _make_lease_client(self):
        return LeaseClient(
            self.sync_client.links,
            self.call_path.authenticator.leases,
            self.settings.guarantees.revocation_ms,
        )

    def _make_load_reporter(self):
        reporter = LoadReporter(
            self.settings.node_id,
            self.call_path.limiters,
            self.sync_client.links,
            self.call_path.balancer,
            self.settings.limits.load_interval_ms,
        )
        self.metrics.get_shared_load_count = reporter.count_loads
        if self.settings.limits.load_interval_ms:
            self.call_path.tick_observers.append(reporter.sample)
        return reporter

    async def _shut_down(self):
        self.heartbeat_tracker.mark_leaving()
        # The node still receives releases meanwhile.
        await self.call_path.finish_local_work()
        async with trio.open_nursery() as nursery:
            # Deregistration times out if no control can be reached.
            nursery.start_soon(self.sync_client.leave)
            await self.call_path.drain()
