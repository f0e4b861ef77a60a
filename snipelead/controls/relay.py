"""Releases at a control that does not vote."""

import trio

from snipelead.controls.applier import UpdateApplier
from snipelead.controls.failover import call_with_failover
from snipelead.controls.links import ControlLinks
from snipelead.controls.polling import ControlPoller
from snipelead.controls.polling import MS_PER_S
from snipelead.controls.source import ReleaseSource
from snipelead.exceptions import SnipeleadError
from snipelead.messages import CertifyReply
from snipelead.messages import CertifyRequest
from snipelead.messages import ClaimRequest
from snipelead.messages import OutcomesRequest
from snipelead.messages import ReplaceRequest
from snipelead.messages import SettleRequest
from snipelead.messages import SubmitRequest
from snipelead.messages import SyncRequest
from snipelead.nodes.holder import ReleaseHolder
from snipelead.releases.checks import check_release
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import NoteId
from snipelead.voters.history import History
from snipelead.voters.peers import voters_of

__all__ = ['RelaySource']

HOLD_MS = 5_000
MISS_MS = 1_000
CALL_TIMEOUT_S = 2.0
CERTIFY_TIMEOUT_S = 0.8
# Ends before the limit above, so that a silent connection is replaced.
CERTIFY_CALL_TIMEOUT_S = 0.6
RELEASE_ARRIVAL_TIMEOUT_S = 0.3
# A relay does not know which note made a release.
UNKNOWN_NOTE_ID = NoteId('')


class _VoterPoller(ControlPoller):
    """Follows the releases of one voter at a time.

    Attributes
    ----------
    polled : ControlLink or None
        Voter that was polled last.
    """

    def __init__(self, links, control_id, holder):
        super().__init__(links, HOLD_MS, MISS_MS)
        self.control_id = control_id
        self.applier = UpdateApplier(holder)
        self.sequence = 0
        self.last_link = None
        self._switch_requested = trio.Event()

    def switch_voter(self):
        """Leave the voter that is polled, since another one has news."""
        if self.last_link is not None:
            self.links.defer(self.last_link)
        self._switch_requested.set()
        self._switch_requested = trio.Event()

    async def wait_request_outdated(self):
        """Wait until the poll is to go to another voter."""
        await self._switch_requested.wait()

    def make_request(self, link, hold_ms):
        """Return a poll that follows releases alone."""
        self.sequence += 1
        self.last_link = link
        return SyncRequest(
            node_id=NodeId(self.control_id),
            incarnation=Incarnation(0),
            sequence=self.sequence,
            held=self.applier.base,
            hold_ms=hold_ms,
            follower=True,
        )

    async def handle_reply(self, link, request, reply):
        """Apply an update; returns the seconds to wait."""
        self.applier.apply(reply)
        if reply.wants_release:
            # This voter is behind; another one may not be.
            self.links.defer(link)
            return self.backoff.next_s()
        return reply.retry_after_ms / MS_PER_S


class RelaySource(ReleaseSource):
    """Follows the voters and forwards what changes durable state to them.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    transport : Transport
        Makes the channels to the voters.
    rng : random.Random or None
        Source of jitter.
    """

    def __init__(self, settings, transport, rng=None):
        self.settings = settings
        self.transport = transport
        voters = tuple(
            peer
            for peer in voters_of(settings)
            if peer.control_id != settings.control_id
        )
        self.links = ControlLinks(
            voters, settings.zone, settings.control_id, transport, rng
        )
        self.holder = ReleaseHolder()
        self.holder.observers.append(self._record_release)
        self.history = History()
        self.poller = _VoterPoller(
            self.links, settings.control_id, self.holder
        )

    @property
    def current(self):
        """Newest committed release known to this relay."""
        return self.holder.current

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Follow the voters until cancelled."""
        task_status.started()
        await self.poller.poll_forever()

    def handlers(self):
        """Return the procedures that are forwarded to voters."""
        return {
            SubmitRequest: self._forward,
            ReplaceRequest: self._forward,
            ClaimRequest: self._forward,
            SettleRequest: self._forward,
            CertifyRequest: self._answer_certify,
            OutcomesRequest: self._forward,
        }

    def find(self, digest):
        """Return a recent release by digest, or None."""
        return self.history.find(digest)

    async def wait_changed(self):
        """Wait until ``current`` changes."""
        await self.holder.wait_changed()

    async def certify(self):
        """Ask voters whether the release held here is the newest."""
        certified = []

        async def ask(link):
            if await self._certify_with(link):
                certified.append(link)
                nursery.cancel_scope.cancel()

        with trio.move_on_after(CERTIFY_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for link in self.links.links:
                    nursery.start_soon(ask, link)
        return bool(certified)

    async def submit(self, note):
        """Submit a note through a voter; see the base class."""
        return await self._forward(SubmitRequest(note))

    async def replace(self, base, release):
        """Submit a whole release through a voter; see the base class."""
        check_release(release, self.current)
        return await self._forward(ReplaceRequest(base, release))

    async def claim(self, request):
        """Make a durable claim through a voter; see the base class."""
        return await self._forward(request)

    async def settle(self, request):
        """Record the end of a claimed request through a voter."""
        return await self._forward(request)

    async def outcomes(self):
        """Return the durable outcome of each recent note."""
        reply = await self._forward(OutcomesRequest())
        return reply.outcomes

    async def _forward(self, request):
        return await call_with_failover(self.links, request, CALL_TIMEOUT_S)

    async def _certify_with(self, link):
        try:
            reply = await link.calls.call(
                CertifyRequest(), CERTIFY_CALL_TIMEOUT_S
            )
        except SnipeleadError:
            return False
        if not reply.certified:
            return False
        # The release may still be on its way here.
        with trio.move_on_after(RELEASE_ARRIVAL_TIMEOUT_S):
            await self._wait_for_release(reply.held.number)
        if self.current.number < reply.held.number:
            self.poller.switch_voter()
            await self._wait_for_release(reply.held.number)
        return True

    async def _wait_for_release(self, number):
        while self.current.number < number:
            await self.wait_changed()

    async def _answer_certify(self, request):
        certified = await self.certify()
        return CertifyReply(held=self.current.held, certified=certified)

    def _record_release(self, release):
        self.history.push(release, UNKNOWN_NOTE_ID)
