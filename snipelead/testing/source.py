"""Fake source of accepted releases."""

from collections import OrderedDict

import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.source import ReleaseSource
from snipelead.messages import CertifyReply
from snipelead.messages import CertifyRequest
from snipelead.messages import ClaimReply
from snipelead.messages import ClaimRequest
from snipelead.messages import OutcomesReply
from snipelead.messages import OutcomesRequest
from snipelead.messages import SettleReply
from snipelead.messages import SettleRequest
from snipelead.messages import SubmitReply
from snipelead.messages import SubmitRequest
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.note_application import apply_note
from snipelead.types import OutcomeKind

__all__ = ['FakeSource']


class FakeSource(ReleaseSource):
    """Release source that accepts notes without a quorum.

    Parameters
    ----------
    current : Release
        Newest accepted release.
    max_recent : int
        Number of releases that can be found by digest.

    Attributes
    ----------
    certification_succeeds : bool
        Whether the source behaves as if it had a quorum: it certifies that it
        is current, and accepts notes and claims.
    certify_time_s : float
        Duration of a certification, in seconds.
    certify_count : int
        Number of certifications.
    """

    def __init__(self, current=EMPTY_RELEASE, max_recent=1_000):
        self.current = current
        self.max_recent = max_recent
        self.certification_succeeds = True
        self.certify_time_s = 0.005
        self.certify_count = 0
        self.recent = OrderedDict({current.digest: current})
        self.claims = {}
        self.notes = {}
        self._changed = trio.Event()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Do nothing until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    def handlers(self):
        """Return handlers of the voter procedures that need no consensus."""
        return {
            CertifyRequest: self._handle_certify,
            OutcomesRequest: self._handle_outcomes,
            SubmitRequest: self._handle_submit,
            ClaimRequest: self.claim,
            SettleRequest: self.settle,
        }

    def publish(self, release):
        """Make a release the newest accepted one and wake the waiters."""
        self.current = release
        self.recent[release.digest] = release
        if len(self.recent) > self.max_recent:
            self.recent.popitem(last=False)
        self._changed.set()
        self._changed = trio.Event()

    def find_by_digest(self, digest):
        """Return a recent release by digest, or None."""
        return self.recent.get(digest)

    async def wait_changed(self):
        """Wait until ``current`` changes."""
        await self._changed.wait()

    async def certify(self):
        """Return ``certification_succeeds`` after ``certify_time_s``."""
        self.certify_count += 1
        await trio.sleep(self.certify_time_s)
        return self.certification_succeeds

    async def submit(self, note):
        """Apply a note; return the first outcome if it is submitted again."""
        self._check_quorum()
        if note.note not in self.notes:
            self.publish(apply_note(self.current, note))
            self.notes[note.note] = SubmitReply(
                OutcomeKind.ACCEPTED, self.current.release_id
            )
        return self.notes[note.note]

    async def claim(self, request):
        """Grant a key to its first claim."""
        self._check_quorum()
        key = (request.scope, request.key)
        owner = self.claims.setdefault(key, request.claim_id)
        return ClaimReply(owner == request.claim_id)

    async def settle(self, request):
        """Acknowledge the settlement of a claim without recording it."""
        self._check_quorum()
        return SettleReply()

    async def get_outcomes(self):
        """Return the outcomes of all notes."""
        return dict(self.notes)

    async def _handle_certify(self, request):
        certified = await self.certify()
        return CertifyReply(held=self.current.release_id, certified=certified)

    async def _handle_outcomes(self, request):
        return OutcomesReply(dict(self.notes))

    async def _handle_submit(self, request):
        return await self.submit(request.note)

    def _check_quorum(self):
        if not self.certification_succeeds:
            raise NoQuorumError('the fake source has no quorum')
