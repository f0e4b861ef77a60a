"""Client with which a node synchronizes with the controls."""

import trio

from snipelead.controls.applier import UpdateApplier
from snipelead.controls.events import CONTROLS_LEARNED
from snipelead.controls.events import FLOOR_CERTIFIED
from snipelead.controls.events import FLOOR_UNCERTIFIED
from snipelead.controls.events import INCARNATION_RAISED
from snipelead.controls.exceptions import StaleRequestError
from snipelead.controls.failover import call_with_failover
from snipelead.controls.links import ControlLinks
from snipelead.controls.polling import ControlPoller
from snipelead.controls.polling import FIRST_RETRY_DELAY_S
from snipelead.controls.polling import MS_PER_S
from snipelead.exceptions import read_integer_detail
from snipelead.logs import log_event
from snipelead.messages import CrashUpdate
from snipelead.messages import digest_controls
from snipelead.messages import Registration
from snipelead.messages import Snapshot
from snipelead.messages import SyncRequest
from snipelead.quarantine.ledger import CrashLedger
from snipelead.releases.packing import pack
from snipelead.rollouts.selector import VersionSelector
from snipelead.types import Incarnation
from snipelead.types import MembershipSource
from snipelead.utils.backoff import Backoff
from snipelead.utils.waiting import wait_any

__all__ = ['SyncClient']

CALL_TIMEOUT_S = 2.0
LEAVE_TIMEOUT_S = 2.0
MAX_FLOOR_RETRY_DELAY_S = 0.3
# Pause after a poll with a hold time that returned early without an update.
EMPTY_REPLY_PAUSE_S = 0.1


class SyncClient(ControlPoller):
    """Synchronizes a node's release and target directory with a control.

    A node becomes ready to serve once it holds a release at or above its
    floor, the lowest release number that it may serve after a start. The
    floor is the number of the newest release, certified by a control during
    one of the node's polls. If no control can certify a release within
    ``floor_limit_ms``, the node serves the highest release it has received.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    transport : Transport
        Creates the channels.
    holder : ReleaseHolder
        Receives newer releases and is marked ready once the node may serve.
    directory : TargetDirectory
        Receives changes of the subscribed targets.
    local_targets : LocalTargets
        Targets that the node itself announces.
    rng : random.Random or None
        Source of jitter.
    ledger : CrashLedger or None
        Evidence on requests that crash targets.
    versions : VersionSelector or None
        Receives the rollouts.

    Attributes
    ----------
    registration : Registration or None
        Latest registration of the node; None before the first poll.
    sequence : int
        Sequence number of the latest poll.
    offer_requested : bool
        Whether the next poll must carry the node's release, because the
        control asked for it.
    floor : ReleaseNumber or None
        Lowest release number to serve; None until certified by a control.
    controls_digest : int
        Digest of the controls that this node has learned of.
    started_at : float or None
        Start of :meth:`run`, in seconds of the trio clock.
    """

    def __init__(
        self,
        settings,
        transport,
        holder,
        directory,
        local_targets,
        rng=None,
        ledger=None,
        versions=None,
    ):
        self.versions = VersionSelector() if versions is None else versions
        self.ledger = CrashLedger() if ledger is None else ledger
        links = ControlLinks(
            settings.controls, settings.zone, settings.node_id, transport, rng
        )
        timings = settings.timings
        super().__init__(links, timings.hold_ms, timings.miss_ms)
        self.settings = settings
        self.holder = holder
        self.directory = directory
        self.local_targets = local_targets
        self.applier = UpdateApplier(holder)
        self.registration = None
        self.sequence = 0
        self.offer_requested = False
        self.floor = None
        self.controls_digest = 0
        self.floor_backoff = Backoff(
            FIRST_RETRY_DELAY_S, MAX_FLOOR_RETRY_DELAY_S, rng
        )
        self.started_at = None
        self._seen_services = set()
        self._seen_epoch = ''
        self._polled_at = 0.0
        self._polled_crashes = 0
        self._leave_requested = trio.Event()
        self._leave_acknowledged = trio.Event()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Poll the controls until cancelled."""
        self.started_at = trio.current_time()
        task_status.started()
        await self.poll_forever()

    async def claim(self, request):
        """Make a durable claim through any control.

        Raises
        ------
        NoControlError, NoQuorumError
            The claim was not recorded.
        OutcomeUnknownError
            The claim may have been recorded.
        """
        return await call_with_failover(self.links, request, CALL_TIMEOUT_S)

    async def settle(self, request):
        """Record the completion of a claimed request through any control."""
        return await call_with_failover(self.links, request, CALL_TIMEOUT_S)

    async def leave(self):
        """Announce that the node is stopping.

        Returns
        -------
        bool
            Whether a control acknowledged the announcement in time.
        """
        self._leave_requested.set()
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            await self._leave_acknowledged.wait()
        return self._leave_acknowledged.is_set()

    def make_request(self, link, hold_ms):
        """Return the next poll.

        The poll also confirms the held release, renews the leases and, if
        necessary, carries the registration of the node.
        """
        self._update_registration()
        self.sequence += 1
        self._polled_at = trio.current_time()
        link.polled = True
        is_registered = link.registered_version == self.registration.version
        certify = not self.holder.ready and self.floor is None
        return SyncRequest(
            node_id=self.settings.node_id,
            incarnation=self.local_targets.incarnation,
            sequence=self.sequence,
            held=self.applier.base,
            directory_epoch=self.directory.epoch,
            directory_version=self.directory.version,
            hold_ms=0 if certify else hold_ms,
            registration_version=self.registration.version,
            registration=None if is_registered else self.registration,
            needs_certification=certify,
            unseen_services=self._unseen_services(),
            offered_release=self._make_offer(),
            controls=self._controls_digest(),
            crashes=self._make_crash_update(link),
            rollouts=self.versions.version,
        )

    async def wait_request_outdated(self):
        """Wait until a fact changes that the controls should know.

        These are targets, subscriptions, the leaving state and crashes.
        """
        while (
            self._current_facts() == self._registered_facts()
            and self._polled_crashes == self.ledger.version
        ):
            await wait_any(
                self.local_targets.wait_changed,
                self.directory.wait_subscribed,
                self._wait_leave_requested,
                self.ledger.wait_changed,
            )

    async def handle_reply(self, link, request, reply):
        """Apply a reply; return the delay before the next poll in seconds."""
        link.reported_crashes = self._polled_crashes
        if reply.crashes is not None:
            self._merge_crashes(link, reply.crashes)
        if reply.rollouts is not None:
            self.versions.apply(reply.rollouts)
        if reply.needs_registration:
            link.registered_version = 0
            # The control has been restarted and has lost its records.
            link.reported_crashes = 0
            return self.backoff.next_delay_s() if request.registration else 0.0
        link.registered_version = request.registration_version
        if self.registration.leaving:
            self._leave_acknowledged.set()
            await trio.sleep_forever()
        await self._update_controls(reply.controls)
        self.offer_requested = reply.requests_release
        changed = self.applier.apply(reply)
        if reply.directory is not None:
            self.directory.apply(reply.directory)
            self._seen_services = set(self.registration.subscriptions)
            self._seen_epoch = self.directory.epoch
        if not self.holder.ready:
            return self._update_readiness(link, reply)
        if reply.retry_after_ms:
            return reply.retry_after_ms / MS_PER_S
        news = (reply.directory, reply.crashes, reply.rollouts)
        empty = not changed and news == (None, None, None)
        polled_for_s = trio.current_time() - self._polled_at
        ended_early = request.hold_ms and polled_for_s < EMPTY_REPLY_PAUSE_S
        return EMPTY_REPLY_PAUSE_S if empty and ended_early else 0.0

    def handle_failure(self, link, error):
        """Record a failed poll; return the delay before the next one.

        A control that knows a later incarnation of this node rejects its
        polls. This happens if the clock was set back between two starts, or
        if another process uses the same node id. This process then restarts
        its incarnation above the one that the control knows.
        """
        if isinstance(error, StaleRequestError):
            latest = read_integer_detail(error, 'incarnation') or 0
            if latest > self.local_targets.incarnation:
                log_event(INCARNATION_RAISED, known=latest)
                self.local_targets.set_incarnation(Incarnation(latest + 1))
        return super().handle_failure(link, error)

    def _make_crash_update(self, link):
        """Return the crash records that a control lacks, or None."""
        self._polled_crashes = self.ledger.version
        if not self.ledger.version:
            return None
        return CrashUpdate(
            link.crash_epoch,
            link.crash_version,
            self.ledger.list_changes(link.reported_crashes),
        )

    def _merge_crashes(self, link, update):
        """Merge the crash records of a control."""
        all_reported = link.reported_crashes == self.ledger.version
        self.ledger.merge(update.records)
        if all_reported:
            link.reported_crashes = self.ledger.version
        link.crash_epoch = update.epoch
        link.crash_version = update.version

    def _update_readiness(self, link, reply):
        """Mark the node ready if it may serve.

        Returns
        -------
        float
            Delay before the next poll in seconds.
        """
        if reply.certified:
            self.floor = max(self.floor or 0, reply.current.number)
        number = self.holder.current.number
        if self.floor is not None and number >= self.floor:
            self.holder.ready = True
            log_event(FLOOR_CERTIFIED, release=number)
            return 0.0
        if reply.retry_after_ms:
            return reply.retry_after_ms / MS_PER_S
        if self.floor is not None:
            return 0.0
        return self._update_readiness_uncertified(link, reply)

    def _update_readiness_uncertified(self, link, reply):
        """Mark the node ready without a floor once the time limit is up.

        The node then serves the highest release it has received, provided
        that every control of its availability zone was polled and the reply
        is from one of these controls that is not warming up.

        Returns
        -------
        float
            Delay before the next poll in seconds.
        """
        waited_s = trio.current_time() - self.started_at
        release = self.holder.current
        # A control of another zone may hold an older release than this node
        # ran before its restart.
        same_zone_links = [
            candidate
            for candidate in self.links.links
            if candidate.zone == self.settings.zone
        ]
        if (
            waited_s >= self.settings.timings.floor_limit_ms / MS_PER_S
            and (link in same_zone_links or not same_zone_links)
            and all(candidate.polled for candidate in same_zone_links)
            and not reply.warming
            and release.number > 0
        ):
            self.holder.ready = True
            self.links.clear_avoidance()
            log_event(FLOOR_UNCERTIFIED, release=release.number)
            return 0.0
        self.links.skip(link)
        return self.floor_backoff.next_delay_s()

    def _controls_digest(self):
        if self.settings.membership is MembershipSource.FIXED:
            return None
        return self.controls_digest

    async def _update_controls(self, endpoints):
        """Replace the known controls if the reply lists them."""
        if not endpoints:
            return
        self.controls_digest = digest_controls(endpoints)
        await self.links.replace_controls(endpoints)
        log_event(
            CONTROLS_LEARNED,
            controls=[e.address for e in endpoints],
        )

    def _current_facts(self):
        """Return the facts that the node's registration should contain."""
        return (
            self.local_targets.entries(),
            frozenset(self.directory.subscriptions),
            self._leave_requested.is_set(),
        )

    def _registered_facts(self):
        """Return the same facts as the latest registration contains them."""
        registration = self.registration
        return (
            registration.targets,
            frozenset(registration.subscriptions),
            registration.leaving,
        )

    def _update_registration(self):
        """Create a new version of the registration if the facts changed."""
        previous = self.registration
        if (
            previous is not None
            and self._current_facts() == self._registered_facts()
        ):
            return
        targets, subscriptions, leaving = self._current_facts()
        self.registration = Registration(
            previous.version + 1 if previous else 1,
            self.settings.zone,
            self.settings.address,
            tuple(sorted(subscriptions)),
            targets,
            leaving,
        )

    def _unseen_services(self):
        """Return subscribed services without entries in this epoch."""
        if self._seen_epoch != self.directory.epoch:
            return ()
        subscriptions = self.registration.subscriptions
        return tuple(s for s in subscriptions if s not in self._seen_services)

    def _make_offer(self):
        """Return a snapshot of the held release if the control wants it."""
        if not self.offer_requested:
            return None
        self.offer_requested = False
        release = self.holder.current
        return Snapshot(release.release_id, pack(release))

    async def _wait_leave_requested(self):
        # Once set, the state is part of the current facts, whose comparison
        # detects the change.
        if self._leave_requested.is_set():
            await trio.sleep_forever()
        await self._leave_requested.wait()
