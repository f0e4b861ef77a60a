"""Application of release updates received from a control."""

from snipelead.controls.events import DELTA_REFUSED
from snipelead.controls.events import RELEASE_APPLIED
from snipelead.logs import log_event
from snipelead.releases.delta import apply_delta
from snipelead.releases.document import ReleaseId
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import DigestMismatchError
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.packing import unpack_delta
from snipelead.releases.packing import unpack_release
from snipelead.types import Digest
from snipelead.types import ReleaseNumber

__all__ = ['UpdateApplier']

# Sent as the held release in a request for a full snapshot.
NO_BASE = ReleaseId(ReleaseNumber(0), Digest(''))


class UpdateApplier:
    """Applies the updates in replies of controls to a release holder.

    Parameters
    ----------
    holder : ReleaseHolder
        Holder of the current release. Its release number never decreases.

    Attributes
    ----------
    needs_snapshot : bool
        Whether the last update failed to produce the announced release, so
        that the next request asks for a full snapshot.
    """

    def __init__(self, holder):
        self.holder = holder
        self.needs_snapshot = False

    @property
    def base(self):
        """Release to report as held in the next request."""
        return (
            NO_BASE if self.needs_snapshot else self.holder.current.release_id
        )

    def apply(self, reply):
        """Apply the update in a reply, if there is one.

        An update to a release that is not newer is ignored. An update whose
        result does not have the announced digest is discarded, and the next
        request asks for a full snapshot.

        Parameters
        ----------
        reply : SyncReply
            Reply of a control.

        Returns
        -------
        bool
            Whether the held release changed.
        """
        try:
            release = self._build_release(reply)
        except (
            DigestMismatchError,
            DanglingReferenceError,
            InvalidNoteError,
        ) as error:
            log_event(DELTA_REFUSED, error=str(error))
            self.needs_snapshot = True
            return False
        if release is None or not self.holder.replace(release):
            return False
        self.needs_snapshot = False
        log_event(
            RELEASE_APPLIED, release=release.number, digest=release.digest
        )
        return True

    def _build_release(self, reply):
        """Return the release that the reply leads to, or None."""
        current = self.holder.current
        if reply.snapshot is not None:
            snapshot = reply.snapshot
            if snapshot.target.number < current.number:
                return None
            self.needs_snapshot = False
            return unpack_release(snapshot.compressed, snapshot.target)
        delta = reply.delta
        if reply.compressed_delta:
            delta = unpack_delta(reply.compressed_delta)
        if delta is None or delta.result.number <= current.number:
            return None
        return apply_delta(current, delta)
