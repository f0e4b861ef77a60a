"""Release source of a relay, a control that is not a voter."""

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
from snipelead.types import ControlRole
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import NoteId
from snipelead.voters.history import History

__all__ = ['RelaySource']

HOLD_MS = 5_000
MISS_MS = 1_000
CALL_TIMEOUT_S = 2.0
CERTIFY_TIMEOUT_S = 0.8
# Shorter than the timeout above, so that an unresponsive connection times out
# by itself and is replaced.
CERTIFY_CALL_TIMEOUT_S = 0.6
# How long to wait for a certified release that is not received yet before the
# relay polls another voter.
RELEASE_ARRIVAL_TIMEOUT_S = 0.3
# A relay does not know which note created a release.
UNKNOWN_NOTE_ID = NoteId('')


class _VoterPoller(ControlPoller):
    """Receives releases from one voter at a time.

    Parameters
    ----------
    links : ControlLinks
        Links to the voters.
    control_id : ControlId
        Id of the relay.
    holder : ReleaseHolder
        Receives the releases.

    Attributes
    ----------
    last_link : ControlLink or None
        Link to the voter that was polled last.
    """

    def __init__(self, links, control_id, holder):
        super().__init__(links, HOLD_MS, MISS_MS)
        self.control_id = control_id
        self.applier = UpdateApplier(holder)
        self.sequence = 0
        self.last_link = None
        self._switch_requested = trio.Event()

    def switch_voter(self):
        """Interrupt the poll and switch to a voter with a newer release."""
        if self.last_link is not None:
            self.links.record_failure(self.last_link)
        self._switch_requested.set()
        self._switch_requested = trio.Event()

    async def wait_request_outdated(self):
        """Wait until a switch to another voter is requested."""
        await self._switch_requested.wait()

    def make_request(self, link, hold_ms):
        """Return a poll for releases only, without registration or targets."""
        self.sequence += 1
        self.last_link = link
        return SyncRequest(
            node_id=NodeId(self.control_id),
            incarnation=Incarnation(0),
            sequence=self.sequence,
            held=self.applier.base,
            hold_ms=hold_ms,
            is_relay=True,
        )

    async def handle_reply(self, link, request, reply):
        """Apply an update; return the delay before the next poll."""
        self.applier.apply(reply)
        if reply.requests_release:
            # This voter holds an older release than the relay, so try
            # another one.
            self.links.record_failure(link)
            return self.backoff.next_delay_s()
        return reply.retry_after_ms / MS_PER_S


class RelaySource(ReleaseSource):
    """Receives releases from voters and forwards operations to them.

    All operations that change durable state are forwarded.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    transport : Transport
        Creates the channels to the voters.
    rng : random.Random or None
        Source of jitter.
    """

    def __init__(self, settings, transport, rng=None):
        self.settings = settings
        self.transport = transport
        self.links = ControlLinks(
            self._other_voters(settings.peers),
            settings.zone,
            settings.control_id,
            transport,
            rng,
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
        """Poll the voters until cancelled."""
        task_status.started()
        await self.poller.poll_forever()

    def handlers(self):
        """Return the handlers, most of which forward to the voters."""
        return {
            SubmitRequest: self._forward,
            ReplaceRequest: self._forward,
            ClaimRequest: self._forward,
            SettleRequest: self._forward,
            CertifyRequest: self._handle_certify,
            OutcomesRequest: self._forward,
        }

    def add_peers(self, peers):
        """Open links to the voters of changed settings.

        Parameters
        ----------
        peers : tuple of Peer
            Controls in the settings.
        """
        self.links.add(self._other_voters(peers))

    def _other_voters(self, peers):
        own_id = self.settings.control_id
        return tuple(
            peer
            for peer in peers
            if peer.role is ControlRole.VOTER and peer.control_id != own_id
        )

    def find_by_digest(self, digest):
        """Return a recent release by digest, or None."""
        return self.history.find_by_digest(digest)

    async def wait_changed(self):
        """Wait until ``current`` changes."""
        await self.holder.wait_changed()

    async def certify(self):
        """Ask all voters concurrently whether the held release is the newest.

        Returns
        -------
        bool
            True as soon as one voter has certified its release and the
            relay holds that release or a newer one.
        """
        certified = []

        async def certify_with(link):
            if await self._certify_with(link):
                certified.append(link)
                nursery.cancel_scope.cancel()

        with trio.move_on_after(CERTIFY_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for link in self.links.links:
                    nursery.start_soon(certify_with, link)
        return bool(certified)

    async def submit(self, note):
        """Submit a note through a voter; see the base class."""
        return await self._forward(SubmitRequest(note))

    async def replace(self, base, release):
        """Submit a complete release through a voter; see the base class."""
        check_release(release, self.current)
        return await self._forward(ReplaceRequest(base, release))

    async def claim(self, request):
        """Make a durable claim through a voter; see the base class."""
        return await self._forward(request)

    async def settle(self, request):
        """Record the completion of a claimed request through a voter."""
        return await self._forward(request)

    async def get_outcomes(self):
        """Return the durable outcome of each recent note."""
        reply = await self._forward(OutcomesRequest())
        return reply.outcomes

    async def _forward(self, request):
        return await call_with_failover(self.links, request, CALL_TIMEOUT_S)

    async def _certify_with(self, link):
        """Certify through one voter, waiting for its release if needed."""
        try:
            reply = await link.calls.call(
                CertifyRequest(), CERTIFY_CALL_TIMEOUT_S
            )
        except SnipeleadError:
            return False
        if not reply.certified:
            return False
        # The relay may receive the certified release shortly; wait for it
        # before switching to another voter.
        with trio.move_on_after(RELEASE_ARRIVAL_TIMEOUT_S):
            await self._wait_for_release(reply.held.number)
        if self.current.number < reply.held.number:
            self.poller.switch_voter()
            await self._wait_for_release(reply.held.number)
        return True

    async def _wait_for_release(self, number):
        while self.current.number < number:
            await self.wait_changed()

    async def _handle_certify(self, request):
        certified = await self.certify()
        return CertifyReply(held=self.current.release_id, certified=certified)

    def _record_release(self, release):
        self.history.push(release, UNKNOWN_NOTE_ID)
