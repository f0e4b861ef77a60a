"""Publication of releases by a control, and checks that they are current."""

from math import inf

import trio

from snipelead.controls.certification import SharedCertification
from snipelead.controls.events import CONTROL_CURRENT
from snipelead.controls.events import CONTROL_DOUBTFUL
from snipelead.controls.events import RELEASE_OFFERED
from snipelead.controls.events import RELEASE_PUBLISHED
from snipelead.controls.polling import MAX_CERTIFICATION_S
from snipelead.controls.polling import MS_PER_S
from snipelead.logs import log_event
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.packing import unpack_release
from snipelead.types import Preference

__all__ = ['Publisher']

FRESHNESS_CHECK_INTERVAL_S = 0.5
FRESHNESS_CHECK_TIMEOUT_S = 0.5
# A control whose last certification is older than this is possibly stale. Its
# nodes then get releases from other controls, well within the three seconds
# after a network partition for which a deployment tolerates stale nodes.
POSSIBLY_STALE_AFTER_S = 1.2


class Publisher:
    """Publishes the releases of a source to the polls of a control.

    Parameters
    ----------
    settings : ControlSettings
        Gives the preference and the batching window.
    source : ReleaseSource
        Accepted releases.
    on_change : callable
        Called after a release is published or ``possibly_stale`` changes,
        to wake the held polls.
    convergence : ConvergenceRecorder
        Records the acceptance of each release.

    Attributes
    ----------
    published : Release
        Newest release that is sent to nodes.
    offered : Release or None
        Latest release adopted from a node, because it was newer than the
        newest known release at that time.
    possibly_stale : bool
        Whether this control has not certified its release recently, or not
        yet, so that other controls may hold a newer one.
    changed : trio.Event
        Set and replaced before each call of ``on_change``.
    """

    def __init__(self, settings, source, on_change, convergence):
        self.settings = settings
        self.source = source
        self.on_change = on_change
        self.convergence = convergence
        self.certification = SharedCertification(source)
        self.published = EMPTY_RELEASE
        self.offered = None
        # Nothing is proved before the first certification.
        self.possibly_stale = True
        self.changed = trio.Event()

    @property
    def newest(self):
        """Newest release known to this control."""
        current = self.source.current
        if self.offered and self.offered.number > current.number:
            return self.offered
        return current

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Publish releases and check their freshness until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.certification.run)
            nursery.start_soon(self._publish_releases)
            nursery.start_soon(self._watch_freshness)
            task_status.started()

    async def certify(self):
        """Return whether the newest known release could be certified."""
        with trio.move_on_after(MAX_CERTIFICATION_S):
            certified = await self.certification.certify()
            return certified and self.newest is self.source.current
        return False

    def accept_offer(self, offer, node_id):
        """Publish a node's release if it is newer than the newest known one.

        Parameters
        ----------
        offer : Snapshot
            Snapshot of the node's release.
        node_id : NodeId
            The node.

        Raises
        ------
        DigestMismatchError, DanglingReferenceError
            If the snapshot is not a valid copy of the announced release.
        """
        if offer.target.number <= self.newest.number:
            return
        self.offered = unpack_release(offer.compressed, offer.target)
        log_event(RELEASE_OFFERED, release=offer.target.number, node=node_id)
        self._publish()

    async def _publish_releases(self):
        """Publish each new release, after the batching window if set."""
        window_s = self.settings.timings.batch_window_ms / MS_PER_S
        self._publish()
        while True:
            if self.published.number >= self.newest.number:
                await self.source.wait_changed()
                continue
            self.convergence.record_acceptance(self.newest.release_id)
            if self.settings.preference is Preference.BYTES:
                await trio.sleep(window_s)
            self._publish()

    async def _watch_freshness(self):
        """Update ``possibly_stale`` from periodic certifications."""
        certified_at = -inf
        while True:
            check_started_at = trio.current_time()
            with trio.move_on_after(FRESHNESS_CHECK_TIMEOUT_S):
                if await self.certify():
                    certified_at = check_started_at
            possibly_stale = (
                trio.current_time() - certified_at > POSSIBLY_STALE_AFTER_S
            )
            if possibly_stale != self.possibly_stale:
                self.possibly_stale = possibly_stale
                event = CONTROL_DOUBTFUL if possibly_stale else CONTROL_CURRENT
                log_event(event, release=self.newest.number)
                self._notify()
            await trio.sleep(FRESHNESS_CHECK_INTERVAL_S)

    def _publish(self):
        self.published = self.newest
        log_event(RELEASE_PUBLISHED, release=self.published.number)
        self._notify()

    def _notify(self):
        """Wake the polls of relays and of nodes."""
        self.changed.set()
        self.changed = trio.Event()
        self.on_change()
