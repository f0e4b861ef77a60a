"""Which release a control tells of, and how sure it is of it."""

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

# Pause between two proofs of the own currency, and limit of each, in seconds.
FRESHNESS_CHECK_INTERVAL_S = 0.5
FRESHNESS_CHECK_TIMEOUT_S = 0.5
# A control whose last proof is older than this is doubtful, in seconds. Nodes
# then take releases elsewhere, well within the stable window of three seconds
# that a deployment grants after a cut.
POSSIBLY_STALE_AFTER_S = 1.2


class Publisher:
    """Follows the source of a control and wakes its polls.

    Parameters
    ----------
    settings : ControlSettings
        Gives the preference and the batching window.
    source : ReleaseSource
        Accepted releases.
    on_news : callable
        Called when nodes have to be told of something.
    convergence : ConvergenceRecorder
        Told of each release that the source has accepted.

    Attributes
    ----------
    published : Release
        Newest release that nodes are told of.
    offered : Release or None
        Release of a node that was newer than the source's.
    doubtful : bool
        Whether this control could not prove itself current lately.
    changed : trio.Event
        Set, and replaced, before each call of ``on_news``.
    """

    def __init__(self, settings, source, on_change, convergence):
        self.settings = settings
        self.source = source
        self.on_change = on_change
        self.convergence = convergence
        self.certification = SharedCertification(source)
        self.published = EMPTY_RELEASE
        self.offered = None
        self.possibly_stale = False
        self.changed = trio.Event()

    @property
    def newest(self):
        """Newest release known to this control."""
        current = self.source.current
        if self.offered and self.offered.number > current.number:
            return self.offered
        return current

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Publish releases and watch the own currency until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.certification.run)
            nursery.start_soon(self._publish_releases)
            nursery.start_soon(self._watch_freshness)
            task_status.started()

    async def certify(self):
        """Return whether the newest release was proved to be that."""
        with trio.move_on_after(MAX_CERTIFICATION_S):
            certified = await self.certification.certify()
            return certified and self.newest is self.source.current
        return False

    def accept_offer(self, offer, node_id):
        """Take over a node's release if it is newer than the own one.

        Raises
        ------
        DigestMismatchError, DanglingReferenceError
            If it is not the release that it claims to be.
        """
        if offer.target.number <= self.newest.number:
            return
        self.offered = unpack_release(offer.compressed, offer.target)
        log_event(RELEASE_OFFERED, release=offer.target.number, node=node_id)
        self._publish()

    async def _publish_releases(self):
        window_s = self.settings.timings.batch_window_ms / MS_PER_S
        self._publish()
        while True:
            if self.published.number >= self.newest.number:
                await self.source.wait_changed()
                continue
            self.convergence.record_acceptance(self.newest.held)
            if self.settings.preference is Preference.BYTES:
                await trio.sleep(window_s)
            self._publish()

    async def _watch_freshness(self):
        """Doubt this control while it cannot prove itself current."""
        certified_at = trio.current_time()
        while True:
            await trio.sleep(FRESHNESS_CHECK_INTERVAL_S)
            check_started_at = trio.current_time()
            with trio.move_on_after(FRESHNESS_CHECK_TIMEOUT_S):
                if await self.certify():
                    certified_at = check_started_at
            possibly_stale = (
                trio.current_time() - certified_at > POSSIBLY_STALE_AFTER_S
            )
            if possibly_stale == self.possibly_stale:
                continue
            self.possibly_stale = possibly_stale
            event = CONTROL_DOUBTFUL if possibly_stale else CONTROL_CURRENT
            log_event(event, release=self.newest.number)
            self._notify()

    def _publish(self):
        self.published = self.newest
        log_event(RELEASE_PUBLISHED, release=self.published.number)
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = trio.Event()
        self.on_change()
