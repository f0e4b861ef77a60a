"""Grants of the customers' rate limits at a control."""

from collections import Counter
from math import inf
import secrets

import trio

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.failover import call_with_failover
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import ForwardedQuotaRequest
from snipelead.messages import QuotaRequest
from snipelead.quotas.budget import CONFIRMED_S
from snipelead.quotas.budget import QuotaBudget
from snipelead.quotas.budget import TAKEOVER_S
from snipelead.quotas.events import QUOTA_RESERVE_USED
from snipelead.quotas.events import QUOTA_TERM_STARTED
from snipelead.quotas.granter import QuotaGranter
from snipelead.types import ControlRole
from snipelead.voters.exceptions import NotLeaderError
from snipelead.voters.peers import voting_peers

__all__ = ['QuotaService']

# Shorter than the timeout of a node, so that the reserve can still serve its
# requests.
LEADER_TIMEOUT_S = 0.35
# Shorter than the timeout above, which would cancel the call and so keep a
# connection that no longer responds; a call that times out replaces it.
FORWARD_TIMEOUT_S = 0.25
CLEANUP_INTERVAL_S = 10.0
# The use of the reserve is logged again after this time without any.
RESERVE_LOG_INTERVAL_S = 10.0


class QuotaService:
    """Answers the nodes' requests for tokens.

    The leader of the voters grants. Other controls forward to it; a voter that
    does not reach a leader grants from its own reserve.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    source : Voter or RelaySource
        Release source of the control.
    transport : Transport
        Creates the channels to the leader.

    Attributes
    ----------
    granter : QuotaGranter or None
        Granter of the present term of this leader.
    reserve : QuotaGranter or None
        Reserve of this control; None before :meth:`run`.
    granted, denied : Counter
        Tokens granted, and waiting requests without a grant, by customer.
    """

    def __init__(self, settings, source, transport):
        self.settings = settings
        self.source = source
        self.transport = transport
        self.granter = None
        self.reserve = None
        self.confirmed_at = -inf
        self.granted = Counter()
        self.denied = Counter()
        self._leadership = None
        self._confirmed_term = None
        self._channels = {}
        self._confirming = trio.Lock()
        self._reserve_used_at = -inf

    @property
    def is_enabled(self):
        """Whether the settings ask for rate limits of customers."""
        return self.settings.guarantees.quota_window_ms > 0

    def handlers(self):
        """Return the handlers of remote procedures by request type."""
        if not self.is_enabled:
            return {}
        return {
            QuotaRequest: self.handle,
            ForwardedQuotaRequest: self.handle_forwarded,
        }

    async def run(self):
        """Drop state that no longer matters, until cancelled."""
        if not self.is_enabled:
            return
        if self.settings.role is ControlRole.VOTER:
            self._get_reserve()
        try:
            while True:
                await trio.sleep(CLEANUP_INTERVAL_S)
                for granter in (self.granter, self.reserve):
                    if granter is not None:
                        granter.forget_idle(trio.current_time())
        finally:
            with trio.CancelScope(shield=True):
                for channel in self._channels.values():
                    await channel.aclose()

    async def handle(self, request):
        """Answer a node.

        Raises
        ------
        SnipeleadError
            If this control is a relay and reaches no voter.
        """
        if self.settings.role is ControlRole.RELAY:
            return await call_with_failover(
                self.source.links, request, LEADER_TIMEOUT_S
            )
        try:
            with trio.move_on_after(LEADER_TIMEOUT_S):
                return await self._ask_leader(request)
        except InvariantError:
            raise
        except SnipeleadError:
            pass
        return self._grant_reserve(request)

    async def handle_forwarded(self, forwarded):
        """Answer a node whose control forwarded its request.

        Raises
        ------
        NotLeaderError
            If this control is not the confirmed leader.
        """
        if self.settings.role is ControlRole.RELAY:
            raise NotLeaderError('a relay never leads')
        return await self._grant(forwarded.request)

    async def _ask_leader(self, request):
        replica = self.source.replica
        if replica.leadership is not None:
            return await self._grant(request)
        if replica.leader is None:
            raise NoControlError('no leader is known')
        # The reset of a channel after a timeout ends all calls in flight on
        # it, so the channels of the voter are not used.
        address = self._find_address(replica.leader)
        if address not in self._channels:
            self._channels[address] = self.transport.connect(address)
        return await self._channels[address].call(
            ForwardedQuotaRequest(request), FORWARD_TIMEOUT_S
        )

    def _find_address(self, member):
        """Return the address of a voter, which settings may fix."""
        for peer in voting_peers(self.settings):
            if peer.control_id == member.control_id:
                return peer.address
        return member.address

    async def _grant(self, request):
        leadership = await self._confirm()
        # From here to the reply nothing waits, so that the confirmation is
        # not older than allowed when the tokens are granted.
        if leadership is not self._leadership:
            self._leadership = leadership
            self.granter = QuotaGranter(
                f'{self.settings.control_id}/{leadership.term}',
                self._budget(),
                leadership.started_at,
            )
            log_event(
                QUOTA_TERM_STARTED,
                term=leadership.term,
                takeover_s=TAKEOVER_S,
            )
        self.granter.budget = self._budget()
        return self._reply(self.granter, request)

    async def _confirm(self):
        """Return the leadership, confirmed by a majority recently.

        Raises
        ------
        NotLeaderError
            If this control does not lead or no majority confirms it.
        """
        replica = self.source.replica
        async with self._confirming:
            leadership = replica.leadership
            if leadership is not None and not self._is_confirmed(leadership):
                started_at = trio.current_time()
                index = await self.source.replication.confirm_leadership()
                if index is not None and replica.leadership is leadership:
                    await self.source.wait_published()
                    self.confirmed_at = started_at
                    self._confirmed_term = leadership.term
        if (
            leadership is None
            or replica.leadership is not leadership
            or not self._is_confirmed(leadership)
        ):
            raise NotLeaderError(f'{replica.member} is not confirmed')
        return leadership

    def _is_confirmed(self, leadership):
        return (
            self._confirmed_term == leadership.term
            and trio.current_time() - self.confirmed_at <= CONFIRMED_S
        )

    def counts(self):
        """Return the tokens granted and denied, by customer and result."""
        return {
            (customer, result): count
            for result, counter in (
                ('granted', self.granted),
                ('denied', self.denied),
            )
            for customer, count in counter.items()
        }

    def _get_reserve(self):
        if self.reserve is None:
            # A restarted process must not be taken for the one before it.
            name = f'{self.settings.control_id}/{secrets.token_hex(4)}'
            self.reserve = QuotaGranter(
                name, self._budget(), trio.current_time(), is_reserve=True
            )
        return self.reserve

    def _grant_reserve(self, request):
        now = trio.current_time()
        if now - self._reserve_used_at > RESERVE_LOG_INTERVAL_S:
            log_event(QUOTA_RESERVE_USED, node=request.node_id)
        self._reserve_used_at = now
        reserve = self._get_reserve()
        reserve.budget = self._budget()
        return self._reply(reserve, request)

    def _reply(self, granter, request):
        reply = granter.handle(
            request, self.source.current.customers, trio.current_time()
        )
        waiting = {d.customer: d.waiting for d in request.demands}
        for grant in reply.grants:
            self.granted[grant.customer] += grant.amount
            self.denied[grant.customer] += max(
                0, waiting[grant.customer] - grant.amount
            )
        return reply

    def _budget(self):
        """Return the budget for the present number of voters."""
        voters = {p.control_id for p in voting_peers(self.settings)}
        voters.add(self.settings.control_id)
        configuration = self.source.replica.journal.configuration
        if configuration is not None:
            voters |= {m.control_id for m in configuration.voters}
        return QuotaBudget.of_guarantees(self.settings.guarantees, len(voters))
