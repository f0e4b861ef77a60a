"""Call path of a node: serves callers and forwarded requests."""

from typing import NamedTuple

import trio

from snipelead.authentication.authenticator import Authenticator
from snipelead.callers.attempts import AttemptRunner
from snipelead.callers.claims import ClaimManager
from snipelead.callers.connections import ConnectionServer
from snipelead.callers.dispatcher import Dispatcher
from snipelead.callers.events import CALL_PATH_LISTENING
from snipelead.callers.events import DRAIN_ENDED
from snipelead.callers.events import DRAIN_STARTED
from snipelead.callers.limit_log import make_limit_logger
from snipelead.callers.pipelining import PipeliningServer
from snipelead.callers.protocol import CallerProtocol
from snipelead.callers.protocol import DEFAULT_CALLER_PROTOCOL
from snipelead.callers.watcher import CallWatcher
from snipelead.callers.watcher import TICK_INTERVAL_S
from snipelead.http.budget import CallerBudget
from snipelead.http.connection import listen
from snipelead.logs import log_event
from snipelead.nodes.forwarding import Forwarder
from snipelead.nodes.peer_service import IDLE_TIMEOUT_S as PEER_IDLE_TIMEOUT_S
from snipelead.nodes.peer_service import PeerService
from snipelead.nodes.reachability import ReachabilityMonitor
from snipelead.nodes.target_limiters import TargetLimiters
from snipelead.quarantine.detector import CrashDetector
from snipelead.quarantine.ledger import CrashLedger
from snipelead.routing.balancer import Balancer
from snipelead.targets.protocol import DEFAULT_TARGET_PROTOCOL
from snipelead.targets.protocol import TargetProtocol
from snipelead.targets.sender import TargetSender
from snipelead.targets.status import TargetStatuses

__all__ = ['CallPath', 'Protocols']


class Protocols(NamedTuple):
    """Header field conventions of a call path.

    Attributes
    ----------
    caller : CallerProtocol
        Conventions between callers and nodes.
    target : TargetProtocol
        Conventions between nodes and targets.
    """

    caller: CallerProtocol
    target: TargetProtocol


DEFAULT_PROTOCOLS = Protocols(DEFAULT_CALLER_PROTOCOL, DEFAULT_TARGET_PROTOCOL)

CALLER_IDLE_TIMEOUT_S = 60.0
DRAIN_POLL_INTERVAL_S = 0.01
# Part of the grace period that is left for the last responses when a stopping
# node closes its listening sockets.
FINAL_DRAIN_S = 0.5
# Callers have left a stopping node if they have been silent for this time.
# Callers that have run out of other nodes come back after a while.
CALLERS_QUIET_S = 3.0
_TICKS_PER_CLEANUP = 20


class CallPath:
    """Serves callers and other nodes.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    holder : ReleaseHolder
        Holds the release whose routes are used.
    directory : TargetDirectory
        Known targets.
    local_targets : LocalTargets
        Targets local to this node.
    claims : SyncClient
        Client with the coroutine methods ``claim`` and ``settle``.
    metrics : NodeMetrics
        Metrics of calls.
    seed : int or None
        Seed of the random choices.
    protocols : Protocols
        Header field conventions of callers and targets.
    statuses : TargetStatuses or None
        Statuses that targets have stated.
    ledger : CrashLedger or None
        Evidence on requests that crash targets.
    versions : VersionSelector or None
        Tells which versions of targets may be used; None for all.
    quotas : QuotaManager or None
        Rate limits of customers.
    proof : NewestReleaseProof or None
        Proves that the node holds the newest release; None if it always does.

    Attributes
    ----------
    authenticator : Authenticator
        Identifies the customers of requests.
    caller_address : Address
        Address for callers; the bound one once listening.
    address : Address
        Address for other nodes; the bound one once listening.
    scope : trio.CancelScope
        Cancelled when the call path has drained.
    servers : tuple of ConnectionServer
        Servers of callers and of other nodes, in this order.
    budget : CallerBudget
        Limits of all connections that the process accepts.
    tick_observers : list of callable
        Called with the time at each tick, 20 times a second.
    stop_deadline : float or None
        When the grace period of a requested stop ends, in seconds of trio's
        clock.
    """

    def __init__(
        self,
        settings,
        holder,
        directory,
        local_targets,
        claims,
        metrics,
        seed=None,
        protocols=DEFAULT_PROTOCOLS,
        statuses=None,
        ledger=None,
        versions=None,
        quotas=None,
        proof=None,
    ):
        self.versions = versions
        self.ledger = CrashLedger() if ledger is None else ledger
        self.authenticator = Authenticator(
            holder, settings.guarantees.revocation_ms
        )
        self.quotas = quotas
        self.proof = proof
        self.protocols = protocols
        self.statuses = statuses or TargetStatuses()
        self.settings = settings
        self.holder = holder
        self.directory = directory
        self.local_targets = local_targets
        self.claims = claims
        self.metrics = metrics
        self.seed = seed
        self.caller_address = settings.caller_address
        self.address = settings.address
        self.scope = trio.CancelScope()
        self.nursery = None
        self.servers = ()
        self.budget = CallerBudget(
            settings.limits.buffer_bytes, settings.limits.descriptor_share
        )
        self.budget.on_limit = make_limit_logger(self.budget)
        metrics.budget = self.budget
        self.stop_deadline = None
        self.tick_observers = []

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled or drained.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Notified once the sockets are listening.
        """
        self._build_components()
        with self.scope, self.sender, self.forwarder:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self.claim_manager.nursery = nursery
                self.reachability.nursery = nursery
                for server in self.servers:
                    nursery.start_soon(server.run, nursery)
                nursery.start_soon(self._run_ticks)
                log_event(
                    CALL_PATH_LISTENING,
                    caller_address=self.caller_address,
                    address=self.address,
                )
                task_status.started()

    def _build_components(self):
        settings = self.settings
        limits = settings.limits
        self.statuses.on_leaving = self.local_targets.mark_leaving
        self.sender = TargetSender(
            self.protocols.target, statuses=self.statuses
        )
        self.reachability = ReachabilityMonitor(self.directory, settings.zone)
        self.forwarder = Forwarder(self.reachability, self.statuses)
        self.crash_detector = CrashDetector(
            settings.node_id, self.local_targets, self.ledger
        )
        self.limiters = TargetLimiters(
            self.local_targets,
            self.sender,
            limits,
            TICK_INTERVAL_S,
            self.holder,
            self.statuses,
            self.crash_detector,
        )
        self.metrics.get_target_slots = self.limiters.target_slots
        self.metrics.get_rate_limits = self.limiters.rate_limits
        self.metrics.get_quarantine_counts = self._count_quarantine
        self.metrics.authenticator = self.authenticator
        self.balancer = Balancer(
            settings.zone,
            self.directory,
            limits.retry_ratio,
            limits.policy,
            self.seed,
            limits.retry_extra,
            limits.own_zone_load,
            self.reachability,
            limits.crossing_ms_per_kb,
            self.statuses,
            self.versions,
        )
        self.attempts = AttemptRunner(
            settings.node_id,
            self.directory,
            self.limiters,
            self.forwarder,
            self.balancer,
            self.ledger,
        )
        self.early_refusal = self.attempts.early_refusal
        self.metrics.early_refusal_counts = self.early_refusal.refusal_counts
        self.claim_manager = ClaimManager(self.claims, self._make_claim_id)
        self.dispatcher = Dispatcher(
            self.holder,
            self.attempts,
            self.claim_manager,
            self.metrics,
            self.protocols.caller,
            self.authenticator,
            self.quotas,
            self.proof,
        )
        self.servers = self._make_servers(limits)
        self.watcher = CallWatcher(
            *(server.active_requests for server in self.servers)
        )

    def _count_quarantine(self):
        return (
            self.crash_detector.crash_count,
            self.ledger.refusal_count,
            self.ledger.count_verdicts(),
        )

    def _make_claim_id(self):
        return f'c-{self.attempts.make_attempt_id()}'

    def _make_servers(self, limits):
        peer_service = PeerService(self.limiters, self.authenticator)
        caller_listener = listen(self.settings.caller_address)
        peer_listener = listen(self.settings.address)
        self.caller_address = _bound_address(caller_listener)
        self.address = _bound_address(peer_listener)
        return (
            PipeliningServer(
                caller_listener,
                self.dispatcher.handle,
                limits,
                CALLER_IDLE_TIMEOUT_S,
                limits.caller_connections,
                self.protocols.caller,
                self.budget,
                depth=limits.pipeline_depth,
            ),
            ConnectionServer(
                peer_listener,
                peer_service.handle,
                limits,
                PEER_IDLE_TIMEOUT_S,
                budget=self.budget,
            ),
        )

    async def _run_ticks(self):
        ticks = 0
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            ticks += 1
            now = trio.current_time()
            self.watcher.tick(now)
            self.forwarder.tick(now)
            self.limiters.tick()
            for observer in self.tick_observers:
                observer(now)
            for server in self.servers:
                server.tick(now)
            if ticks % _TICKS_PER_CLEANUP == 0:
                self.sender.pool.close_expired()
                self.forwarder.pool.close_expired()
                self.balancer.drop_removed_targets()
                self.early_refusal.tick(now)

    @property
    def in_flight(self):
        """Number of requests and settlements in progress."""
        active_count = sum(
            len(server.active_requests) for server in self.servers
        )
        return active_count + self.claim_manager.pending_settlements

    async def drain(self):
        """Accept no new requests, finish those in flight, then stop.

        Requests that have not finished ``grace_ms`` after the stop began are
        cancelled.
        """
        self._begin_stop()
        log_event(DRAIN_STARTED, in_flight=self.in_flight)
        self.limiters.stopping = True
        with trio.move_on_at(self.stop_deadline):
            for server in self.servers:
                server.drain(self.nursery)
            while self.in_flight or self._count_open_connections():
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
        log_event(DRAIN_ENDED, cut=self.in_flight)
        self.scope.cancel()

    async def linger(self):
        """Keep serving callers that have not noticed yet that the node stops.

        The local target stays in service meanwhile. Otherwise a rolling
        restart would take most targets out of service at the same time.
        """
        self._begin_stop()
        linger_s = self.settings.timings.linger_ms / 1_000
        if linger_s:
            self.servers[0].draining = True
            await trio.sleep(linger_s)

    async def finish_local_work(self):
        """Serve callers until the local target has finished its requests.

        These may make calls through this node. A node without a target goes
        on as long as callers come. Requests whose deadline is after the end
        of the grace period are refused.
        """
        self._begin_stop()
        self.limiters.stopping = True
        self.dispatcher.stop_deadline = self.stop_deadline
        with trio.move_on_at(self.stop_deadline - FINAL_DRAIN_S):
            while self.limiters.in_flight or self._is_still_called():
                await trio.sleep(DRAIN_POLL_INTERVAL_S)

    def _begin_stop(self):
        if self.stop_deadline is None:
            grace_s = self.settings.timings.grace_ms / 1_000
            self.stop_deadline = trio.current_time() + grace_s

    def _is_still_called(self):
        """Return whether callers use a node that has no local target."""
        silent_s = trio.current_time() - self.dispatcher.last_request_at
        return not self.local_targets.targets and silent_s < CALLERS_QUIET_S

    def _count_open_connections(self):
        return sum(len(server.connections) for server in self.servers)


def _bound_address(listener):
    host, port = listener.getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
