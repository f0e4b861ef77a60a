"""Service of a control for nodes, relays and other controls."""

from math import inf
import random

from msgspec.structs import replace
import trio

from snipelead.authentication.granter import LeaseGranter
from snipelead.controls.convergence import ConvergenceRecorder
from snipelead.controls.directory import ControlDirectory
from snipelead.controls.events import CONTROL_WARM
from snipelead.controls.exchange import PeerExchange
from snipelead.controls.fleet import collect_replies
from snipelead.controls.fleet import merge_fleet
from snipelead.controls.leases import NodeLeases
from snipelead.controls.links import ControlLinks
from snipelead.controls.loads import LoadService
from snipelead.controls.polling import MS_PER_S
from snipelead.controls.publisher import Publisher
from snipelead.controls.sessions import NodeSessions
from snipelead.controls.snapshots import SnapshotLimiter
from snipelead.controls.updates import UpdateBuilder
from snipelead.logs import log_event
from snipelead.messages import CrashUpdate
from snipelead.messages import digest_controls
from snipelead.messages import ExchangeReply
from snipelead.messages import ExchangeRequest
from snipelead.messages import FleetReply
from snipelead.messages import FleetRequest
from snipelead.messages import FreshnessReply
from snipelead.messages import FreshnessRequest
from snipelead.messages import LeaseRequest
from snipelead.messages import LiftReply
from snipelead.messages import LiftRequest
from snipelead.messages import SyncReply
from snipelead.messages import SyncRequest
from snipelead.messages import WatchedReply
from snipelead.messages import WatchedRequest
from snipelead.quarantine.ledger import CrashLedger
from snipelead.utils.waiting import wait_any

__all__ = ['ControlService']

# Upper bound of the hold time that a request may ask for.
MAX_HOLD_MS = 60_000
MIN_DIRECTORY_INTERVAL_S = 0.5
_NO_CRASHES = CrashUpdate('', 0)


class ControlService:
    """Distributes releases and targets to the nodes that poll a control.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    source : ReleaseSource
        Accepted releases.
    transport : Transport
        Creates the channels to the other controls.
    rng : random.Random or None
        Source of jitter.
    metrics : ControlMetrics or None
        Receives the convergence times of releases. None disables recording.
    """

    def __init__(self, settings, source, transport, rng=None, metrics=None):
        self.settings = settings
        self.source = source
        self.transport = transport
        self.rng = rng or random.Random()
        self.sessions = NodeSessions()
        self.directory = ControlDirectory(self.sessions.wake)
        self.ledger = CrashLedger(self.sessions.wake)
        self.loads = LoadService(settings.control_id)
        self.leases = NodeLeases(
            settings.timings, self.sessions, self.directory
        )
        self.snapshot_limiter = SnapshotLimiter(
            settings.max_snapshots, self.rng
        )
        self.update_builder = UpdateBuilder(source)
        self.convergence = ConvergenceRecorder(metrics, settings.preference)
        # Set by the process if rollouts are enabled.
        self.rollouts = None
        self.publisher = Publisher(
            settings, source, self.sessions.wake, self.convergence
        )
        self.lease_granter = LeaseGranter(self.publisher, metrics)
        peers = tuple(
            peer
            for peer in settings.peers
            if peer.control_id != settings.control_id
        )
        self.links = ControlLinks(
            peers,
            settings.zone,
            settings.control_id,
            transport,
            self.rng,
        )

    @property
    def warming(self):
        """Whether some nodes may not have registered since the start."""
        return not self.directory.own.complete

    def handlers(self):
        """Return the handlers of remote procedures by request type."""
        return {
            SyncRequest: self.sync,
            FleetRequest: self.handle_fleet,
            ExchangeRequest: self.exchange,
            FreshnessRequest: self.handle_freshness,
            WatchedRequest: self.handle_watched,
            LiftRequest: self.handle_lift,
            LeaseRequest: self.lease_granter.grant,
            **self.loads.handlers(),
        }

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Publish releases, expire leases and exchange targets."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.publisher.run)
                await nursery.start(self.lease_granter.certification.run)
                nursery.start_soon(self.leases.expire_leases)
                nursery.start_soon(self._warm_up)
                for link in self.links.links:
                    self._start_exchange(nursery, link)
                nursery.start_soon(self._track_controls, nursery)
                task_status.started()
        finally:
            with trio.CancelScope(shield=True):
                await self.links.aclose()

    def _start_exchange(self, nursery, link):
        exchange = PeerExchange(
            self.settings.control_id,
            link,
            self.directory,
            self.rng,
            self.settings.timings,
            self.ledger,
        )
        nursery.start_soon(exchange.run)
        nursery.start_soon(self.loads.poll_peer, link)

    async def _track_controls(self, nursery):
        """Update the links whenever the source learns of other controls."""
        while True:
            endpoints = self.source.controls()
            if endpoints:
                for link in await self.links.replace_controls(
                    self._without_self(endpoints)
                ):
                    self._start_exchange(nursery, link)
            await self.source.wait_controls_changed()

    def _without_self(self, endpoints):
        own = self.settings.address
        return tuple(
            endpoint for endpoint in endpoints if endpoint.address != own
        )

    def _attach_controls(self, request, reply):
        """Add the list of controls to a reply if the node's is outdated."""
        endpoints = self.source.controls()
        if not endpoints or request.controls in (
            None,
            digest_controls(endpoints),
        ):
            return reply
        return replace(reply, controls=endpoints)

    async def sync(self, request):
        """Handle a long poll; see :meth:`_sync`."""
        if request.crashes is not None:
            self.ledger.merge(request.crashes.records)
        reply = await self._sync(request)
        if not request.is_relay:
            reply = replace(
                reply,
                crashes=self._crash_update(request),
                rollouts=self._rollout_update(request),
            )
        return self._attach_controls(request, reply)

    def _crash_update(self, request):
        """Return the crash records that a node lacks, or None."""
        known = request.crashes or _NO_CRASHES
        return self.ledger.update_since(known.epoch, known.version)

    def _rollout_update(self, request):
        """Return the rollouts if a node lacks some, or None."""
        if self.rollouts is None:
            return None
        return self.rollouts.update_since(request.rollouts)

    async def _sync(self, request):
        """Handle a long poll, without the list of controls.

        Raises
        ------
        StaleRequestError
            If a newer poll of the same node was received before.
        """
        if request.is_relay:
            return await self._hold_relay_poll(request)
        session = self.sessions.get_or_create(request.node_id)
        previous_held = session.held
        session.record_poll(request)
        self.convergence.record_confirmation(session, previous_held)
        self.snapshot_limiter.finish(request.node_id)
        if not self.leases.renew(session, request):
            return SyncReply(
                needs_registration=True,
                possibly_stale=self.publisher.possibly_stale,
            )
        if session.has_left:
            return SyncReply()
        if request.offered_release is not None:
            self.publisher.accept_offer(
                request.offered_release, request.node_id
            )
        if request.needs_certification:
            return await self._certified_reply(session, request)
        return await self._hold_poll(session, request)

    async def exchange(self, request):
        """Handle the long poll of another control.

        It asks for the targets of own nodes and for crash records.
        """
        own = self.directory.own
        hold_ms = min(request.hold_ms, MAX_HOLD_MS)
        with trio.move_on_after(hold_ms / MS_PER_S):
            while True:
                update = own.update_since(request.epoch, request.version)
                crashes = self.ledger.update_since(
                    request.crash_epoch, request.crash_version
                )
                if update is not None or crashes is not None:
                    return ExchangeReply(update, crashes)
                await wait_any(
                    self.directory.wait_own_changed, self.ledger.wait_changed
                )
        return ExchangeReply()

    async def handle_fleet(self, request):
        """Return this control's own view of the fleet, not certified."""
        return FleetReply(
            self.settings.control_id,
            self.settings.zone,
            self.publisher.newest.release_id,
            False,
            tuple(
                session.status()
                for session in self.leases.reportable_sessions()
            ),
            self.directory.own.live(),
            self.warming,
        )

    async def handle_freshness(self, request):
        """Return whether this control is possibly stale."""
        return FreshnessReply(self.publisher.possibly_stale)

    async def handle_watched(self, request):
        """Return all crash records that this control knows."""
        return WatchedReply(tuple(self.ledger.records.values()))

    async def handle_lift(self, request):
        """Discard the evidence on a request, here and then everywhere."""
        return LiftReply(self.ledger.lift(request.fingerprint))

    async def collect_fleet_replies(self):
        """Return the views of all controls that reply, this one first.

        Returns
        -------
        list of FleetReply
        """
        replies, _ = await self._collect_replies()
        return replies

    async def fleet_status(self):
        """Return the status of the whole fleet.

        Returns
        -------
        FleetStatus
        """
        return merge_fleet(*await self._collect_replies())

    async def _collect_replies(self):
        replies, unreachable = await collect_replies(self.links.links)
        certified = await self.publisher.certify()
        own = await self.handle_fleet(FleetRequest())
        return [replace(own, certified=certified), *replies], unreachable

    async def _certified_reply(self, session, request):
        """Return updates and the result of a certification made for them."""
        certified = await self.publisher.certify()
        reply = (
            self._release_update(request, self.publisher.newest) or SyncReply()
        )
        return replace(
            reply,
            certified=certified,
            possibly_stale=self.publisher.possibly_stale,
            current=self.publisher.newest.release_id,
            warming=self.warming,
            directory=self._directory_update(session, request),
        )

    async def _hold_poll(self, session, request):
        """Wait for an update, a newer poll or the end of the hold time."""
        hold_ms = min(request.hold_ms, MAX_HOLD_MS)
        latest_poll = session.latest_poll
        possibly_stale = self.publisher.possibly_stale
        with trio.move_on_after(hold_ms / MS_PER_S):
            while (
                session.latest_poll == latest_poll
                and self.publisher.possibly_stale == possibly_stale
            ):
                wake_event = session.wake_event
                reply = self._available_update(session, request)
                if reply is not None:
                    return reply
                with trio.move_on_at(self._next_directory_at(session)):
                    await wake_event.wait()
        return SyncReply(possibly_stale=self.publisher.possibly_stale)

    async def _hold_relay_poll(self, request):
        """Handle the long poll of a relay, which receives releases only."""
        hold_ms = min(request.hold_ms, MAX_HOLD_MS)
        possibly_stale = self.publisher.possibly_stale
        self.snapshot_limiter.finish(request.node_id)
        with trio.move_on_after(hold_ms / MS_PER_S):
            while self.publisher.possibly_stale == possibly_stale:
                reply = self._release_update(request, self.publisher.published)
                if reply is not None:
                    return replace(reply, possibly_stale=possibly_stale)
                await self.publisher.changed.wait()
        return SyncReply(possibly_stale=self.publisher.possibly_stale)

    def _available_update(self, session, request):
        """Return a reply with updates, or None if there are none."""
        reply = self._release_update(request, self.publisher.published)
        directory = self._directory_update(session, request)
        others = (self._crash_update(request), self._rollout_update(request))
        if reply is directory is None and others == (None, None):
            return None
        return replace(
            reply or SyncReply(),
            directory=directory,
            possibly_stale=self.publisher.possibly_stale,
        )

    def _next_directory_at(self, session):
        """Return the earliest time of the next directory update.

        Updates to a node are rate-limited: when many nodes register at
        once, subscribers get batches instead of one update per target.

        Returns
        -------
        float
            Time in seconds of the trio clock; infinity if an update may be
            sent at once.
        """
        due = session.directory_sent_at + MIN_DIRECTORY_INTERVAL_S
        return due if due > trio.current_time() else inf

    def _can_delay_directory(self, session, request):
        """Return whether a directory update may be sent later."""
        return (
            request.hold_ms > 0
            and not request.unseen_services
            and request.directory_epoch == self.directory.merged.epoch
            and self._next_directory_at(session) != inf
        )

    def _directory_update(self, session, request):
        """Return an update of the node's subscribed targets, or None."""
        if self._can_delay_directory(session, request):
            return None
        update = self.directory.merged.update_since(
            request.directory_epoch,
            request.directory_version,
            session.services,
            request.unseen_services,
        )
        if update is not None:
            session.directory_sent_at = trio.current_time()
        return update

    def _release_update(self, request, published):
        """Return a reply that leads to the newest release, or None.

        The reply has a delta, a snapshot, a retry delay or, if the requester
        holds a newer release than this control, a request for that release.
        """
        held = request.held
        if held.number > self.publisher.newest.number:
            return SyncReply(requests_release=True)
        if held == published.release_id or held.number > published.number:
            return None
        release = self.publisher.newest
        # A node without a release always gets a snapshot, the number of which
        # is limited, in case many nodes start at once.
        if held.number > 0:
            reply = self.update_builder.delta_reply(held, release)
            if reply is not None:
                return reply
        retry_after_ms = self.snapshot_limiter.admit(request.node_id)
        if retry_after_ms:
            return SyncReply(
                retry_after_ms=retry_after_ms, current=release.release_id
            )
        return SyncReply(snapshot=self.update_builder.snapshot(release))

    async def _warm_up(self):
        """Mark the directory complete after one target lease."""
        await trio.sleep(self.settings.timings.target_lease_ms / MS_PER_S)
        self.directory.set_complete()
        self.sessions.wake()
        log_event(CONTROL_WARM)
