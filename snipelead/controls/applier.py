"""Application of updates by whoever follows a control's releases."""

from snipelead.controls.events import DELTA_REFUSED
from snipelead.controls.events import RELEASE_APPLIED
from snipelead.logs import log_event
from snipelead.releases.delta import apply_delta
from snipelead.releases.document import Held
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import DigestMismatchError
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.packing import unpack_delta
from snipelead.releases.packing import unpack_release
from snipelead.types import Digest
from snipelead.types import ReleaseNumber

__all__ = ['UpdateApplier']

# Held in a request that asks for a whole snapshot.
NO_BASE = Held(ReleaseNumber(0), Digest(''))


class UpdateApplier:
    """Keeps a holder in step with the replies of controls.

    Parameters
    ----------
    holder : ReleaseHolder
        Holder of the one release; it never goes back.

    Attributes
    ----------
    needs_snapshot : bool
        Whether the last update did not lead to its target.
    """

    def __init__(self, holder):
        self.holder = holder
        self.needs_snapshot = False

    @property
    def base(self):
        """Release to declare as held in the next request."""
        return NO_BASE if self.needs_snapshot else self.holder.current.held

    def apply(self, reply):
        """Take in a reply; returns whether the release changed.

        Updates to a release that is not newer are dropped. An update that
        does not lead to the announced digest is dropped, too, and the next
        request asks for a snapshot.
        """
        try:
            release = self._build(reply)
        except (
            DigestMismatchError,
            DanglingReferenceError,
            InvalidNoteError,
        ) as error:
            log_event(DELTA_REFUSED, error=str(error))
            self.needs_snapshot = True
            return False
        if release is None or not self.holder.swap(release):
            return False
        self.needs_snapshot = False
        log_event(
            RELEASE_APPLIED, release=release.number, digest=release.digest
        )
        return True

    def _build(self, reply):
        current = self.holder.current
        if reply.snapshot is not None:
            snapshot = reply.snapshot
            if snapshot.target.number < current.number:
                return None
            self.needs_snapshot = False
            return unpack_release(snapshot.compressed, snapshot.target)
        delta = reply.delta
        if reply.packed_delta:
            delta = unpack_delta(reply.packed_delta)
        if delta is None or delta.target.number <= current.number:
            return None
        return apply_delta(current, delta)
