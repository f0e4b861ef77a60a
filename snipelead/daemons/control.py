"""Control process."""

import trio

from snipelead.callers.limit_log import make_limit_logger
from snipelead.controls.relay import RelaySource
from snipelead.controls.service import ControlService
from snipelead.http.budget import CallerBudget
from snipelead.metrics import ControlMetrics
from snipelead.quotas.service import QuotaService
from snipelead.rollouts.coordinator import are_rollouts_enabled
from snipelead.rollouts.coordinator import RolloutCoordinator
from snipelead.types import ControlRole
from snipelead.voters.voter import Voter

__all__ = ['ControlDaemon']


class ControlDaemon:
    """Control, which accepts releases and distributes them to nodes.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the process.
    transport : Transport
        Transport to other processes.
    frontend : object
        Operator interface with an asynchronous
        ``run(daemon, stop, task_status)``.

    Attributes
    ----------
    source : Voter or RelaySource
        Source of the current release, depending on the role of the control.
    service : ControlService
        Distribution of releases to nodes.
    rollouts : RolloutCoordinator or None
        Rollouts; None unless the settings state a bound on them and this
        control is a voter.
    quotas : QuotaService
        Grants of the rate limits of customers.
    metrics : ControlMetrics
        Metrics of the process.
    budget : CallerBudget
        Limits of all connections of operators.
    """

    def __init__(self, settings, transport, frontend):
        self.settings = settings
        self.frontend = frontend
        self.transport = transport
        self.metrics = ControlMetrics()
        self.budget = CallerBudget(
            settings.buffer_bytes, settings.descriptor_share
        )
        self.budget.on_limit = make_limit_logger(self.budget)
        self.metrics.budget = self.budget
        self.source = self._make_source()
        self.service = ControlService(
            settings, self.source, transport, metrics=self.metrics
        )
        self.rollouts = None
        if are_rollouts_enabled(settings) and isinstance(self.source, Voter):
            self.rollouts = RolloutCoordinator(
                settings, self.source, self.service
            )
            self.service.rollouts = self.rollouts
            self.metrics.get_rollouts = self.rollouts.count_reserved
        self.quotas = QuotaService(settings, self.source, transport)
        self.metrics.get_quota_counts = self.quotas.counts

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
            Set to request a graceful stop.
        task_status : trio.TaskStatus
            Notified once the control accepts requests.
        """
        settings = self.settings
        handlers = (
            self.source.handlers()
            | self.service.handlers()
            | self.quotas.handlers()
        )
        if self.rollouts is not None:
            handlers |= self.rollouts.handlers()
        async with trio.open_nursery() as nursery:
            await nursery.start(self.source.run)
            await nursery.start(
                self.transport.serve,
                settings.listen_address or settings.address,
                handlers,
            )
            await nursery.start(self.service.run)
            if self.rollouts is not None:
                nursery.start_soon(self.rollouts.run)
            nursery.start_soon(self.quotas.run)
            async with trio.open_nursery() as frontend_nursery:
                await frontend_nursery.start(self.frontend.run, self, stop)
                task_status.started()
                await stop.wait()
            # All operator requests have ended, so none waits for the source.
            await self.source.drain()
            nursery.cancel_scope.cancel()

    def reload(self, settings):
        """Apply the ``peers`` of changed settings; ignore other changes."""
        self.source.add_peers(settings.peers)
