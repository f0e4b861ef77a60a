"""Rate limits of customers at the node where requests enter."""

from collections import Counter
from collections import deque
from math import inf

from msgspec import Struct
import trio

from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import QuotaRequest
from snipelead.quotas.budget import MS_PER_S
from snipelead.quotas.budget import QuotaBudget
from snipelead.quotas.events import QUOTA_GRANTED_AGAIN
from snipelead.quotas.events import QUOTA_LIMIT_REACHED
from snipelead.quotas.events import QUOTA_UNAVAILABLE
from snipelead.quotas.exceptions import QuotaExceededError
from snipelead.quotas.exceptions import QuotaUnavailableError
from snipelead.quotas.hand import QuotaHand

__all__ = ['QuotaManager', 'Refusal']

CALL_TIMEOUT_S = 0.4
# Longest wait of a request for a grant: the pause between two messages and
# the call of one control that does not answer.
MAX_WAIT_S = 0.7
# Interval at which tokens are asked for ahead.
MESSAGE_INTERVAL_S = 0.25
# A message for requests that wait is sent at once if the node has been quiet;
# on average at most one is sent in this time. With 0.25 s, half of all
# requests of 86 customers at 90 nodes waited for 77 ms or more.
MIN_MESSAGE_INTERVAL_S = 0.1
MESSAGE_BURST = 3
# Requests are refused at once for this time after no control answered.
UNAVAILABLE_S = 0.5
UNAVAILABLE_RETRY_AFTER_MS = 1_000
# A customer's limit is logged again after it was not reached for this time.
LIMIT_LOG_INTERVAL_S = 10.0


class Refusal(Struct, frozen=True):
    """Reason why a waiting request is refused.

    Parameters
    ----------
    is_limit : bool
        Whether the limit of the customer was reached.
    """

    is_limit: bool


class _Waiter:
    """Request that waits for a grant."""

    def __init__(self):
        self.done = trio.Event()
        self.result = Refusal(False)

    def resolve(self, result):
        self.result = result
        self.done.set()


class QuotaManager:
    """Admits the requests of customers within their rate limits.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    links : ControlLinks
        Controls to ask for tokens.
    get_incarnation : callable
        Returns the incarnation of the node.

    Attributes
    ----------
    hands : dict of TenantName to QuotaHand
        Tokens and demand of the customers seen recently.
    admitted, refused, unavailable : Counter
        Requests by customer: admitted, beyond the limit, and refused because
        no control granted in time.
    """

    def __init__(self, settings, links, get_incarnation):
        self.settings = settings
        self.links = links
        self.get_incarnation = get_incarnation
        self.budget = QuotaBudget.of_guarantees(settings.guarantees)
        self.hands = {}
        self.waiters = {}
        self.admitted = Counter()
        self.refused = Counter()
        self.unavailable = Counter()
        self.is_available = True
        self.sequence = 0
        self._epoch = ''
        self._received = 0
        self._sendable_at = -inf
        self._unavailable_until = -inf
        self._limits_logged_at = {}
        self._woken = trio.Event()

    def is_limited(self, customer):
        """Return whether requests of a customer need an admission.

        Parameters
        ----------
        customer : Customer or None
            Customer of a request, if it is known.
        """
        return customer is not None and self.budget.is_limited(customer)

    async def admit(self, customer):
        """Admit a request, waiting for a grant if none is in hand.

        Parameters
        ----------
        customer : Customer or None
            Customer of the request.

        Returns
        -------
        Admission or None
            None if the requests of the customer are not limited.

        Raises
        ------
        QuotaExceededError
            If the customer has reached its limit.
        QuotaUnavailableError
            If no control granted in time.
        """
        if not self.is_limited(customer):
            return None
        now = trio.current_time()
        hand = self._get_hand(customer.name)
        hand.count_arrival(now)
        admission = await self._admit(hand, now)
        self.admitted[customer.name] += 1
        return admission

    async def readmit(self, admission):
        """Admit a request again whose token lapsed before it was sent.

        See Also
        --------
        admit : Raises the same errors.
        """
        hand = self._get_hand(admission.hand.customer)
        return await self._admit(hand, trio.current_time())

    def _get_hand(self, name):
        hand = self.hands.get(name)
        if hand is None:
            hand = self.hands[name] = QuotaHand(name, self)
            self._woken.set()
        return hand

    async def _admit(self, hand, now):
        # Requests that wait already come first.
        admission = None if hand.waiting else hand.take(now)
        if admission is None:
            if now < hand.blocked_until and hand.is_limit_reached:
                raise self._refuse(hand, now)
            if now < max(hand.blocked_until, self._unavailable_until):
                raise self._refuse_unavailable(hand.customer)
            admission = await self._wait_for_grant(hand)
        return admission

    def renew(self, admission):
        """Admit a further attempt without waiting.

        Parameters
        ----------
        admission : Admission
            Earlier admission of the request.

        Returns
        -------
        Admission

        Raises
        ------
        QuotaExceededError
            If there is no token in hand.
        """
        now = trio.current_time()
        hand = self._get_hand(admission.hand.customer)
        renewed = hand.take(now)
        if renewed is None:
            raise self._refuse(hand, now)
        return renewed

    def refund(self, admission):
        """Return the token of a request that was not sent to a target."""
        if admission is not None:
            admission.hand.refund(admission, trio.current_time())

    async def run(self):
        """Exchange demand and grants with the controls until cancelled."""
        if not self.budget.window_s:
            return
        while True:
            await self._wait_needed()
            await trio.sleep_until(self._sendable_at)
            await self._exchange()
            now = trio.current_time()
            # The time by which earlier messages are paid for, less the burst.
            self._sendable_at = (
                max(
                    self._sendable_at,
                    now - MESSAGE_BURST * MIN_MESSAGE_INTERVAL_S,
                )
                + MIN_MESSAGE_INTERVAL_S
            )

    async def _wait_needed(self):
        """Wait until a message is needed."""
        while not any(hand.waiting for hand in self.hands.values()):
            self._woken = trio.Event()
            timeout_s = MESSAGE_INTERVAL_S if self.hands else inf
            with trio.move_on_after(timeout_s) as scope:
                await self._woken.wait()
            if scope.cancelled_caught:
                now = trio.current_time()
                self._forget_idle(now)
                if any(h.needs_grant(now) for h in self.hands.values()):
                    return

    async def _exchange(self):
        """Send the demand to a control and distribute what it grants."""
        asked_at = trio.current_time()
        self.sequence += 1
        request = QuotaRequest(
            self.settings.node_id,
            self.get_incarnation(),
            self.sequence,
            self._epoch,
            self._received,
            tuple(
                hand.make_demand(asked_at)
                for hand in self.hands.values()
                if hand.needs_grant(asked_at) or hand.has_report(asked_at)
            ),
        )
        reply = await self._call(request)
        now = trio.current_time()
        if reply is None:
            self._unavailable_until = now + UNAVAILABLE_S
            for name in list(self.waiters):
                self._resolve(self.hands[name], now, Refusal(False))
        else:
            self._epoch = reply.epoch
            self._received = reply.number
            for grant in reply.grants:
                self._apply(grant, reply, asked_at, now)
        self._record_availability(reply is not None and not reply.is_reserve)

    async def _call(self, request):
        """Return the reply of the first control that answers, or None."""
        with trio.move_on_after(MAX_WAIT_S):
            for link in self.links.failover_order():
                try:
                    return await link.calls.call(request, CALL_TIMEOUT_S)
                except InvariantError:
                    raise
                except SnipeleadError:
                    continue
        return None

    def _apply(self, grant, reply, asked_at, now):
        hand = self.hands.get(grant.customer)
        if hand is None:
            return
        hand.add(grant.amount, asked_at)
        refusal = None
        if grant.retry_after_ms:
            hand.blocked_until = now + grant.retry_after_ms / MS_PER_S
            hand.is_limit_reached = not reply.is_reserve
            refusal = Refusal(hand.is_limit_reached)
        self._resolve(hand, now, refusal)

    def _resolve(self, hand, now, refusal):
        """Admit waiting requests; refuse the rest if there is a refusal."""
        waiters = self.waiters.get(hand.customer, deque())
        while waiters:
            result = hand.take(now) or refusal
            if result is None:
                return
            waiters.popleft().resolve(result)
            hand.waiting -= 1
        self.waiters.pop(hand.customer, None)

    async def _wait_for_grant(self, hand):
        waiter = _Waiter()
        waiters = self.waiters.setdefault(hand.customer, deque())
        waiters.append(waiter)
        hand.waiting += 1
        self._woken.set()
        try:
            with trio.move_on_after(MAX_WAIT_S):
                await waiter.done.wait()
        except trio.Cancelled:
            if waiter.done.is_set():
                self._return_unused(waiter)
            raise
        finally:
            if not waiter.done.is_set():
                waiters.remove(waiter)
                hand.waiting -= 1
                if not self.waiters[hand.customer]:
                    del self.waiters[hand.customer]
        if not isinstance(waiter.result, Refusal):
            return waiter.result
        if waiter.result.is_limit:
            raise self._refuse(hand, trio.current_time())
        raise self._refuse_unavailable(hand.customer)

    def _return_unused(self, waiter):
        if not isinstance(waiter.result, Refusal):
            self.refund(waiter.result)

    def _refuse(self, hand, now):
        """Return the error for a request beyond the limit."""
        name = hand.customer
        self.refused[name] += 1
        logged_at = self._limits_logged_at.get(name, -inf)
        if now - logged_at > LIMIT_LOG_INTERVAL_S:
            log_event(QUOTA_LIMIT_REACHED, customer=name)
        self._limits_logged_at[name] = now
        delay_s = max(hand.blocked_until - now, MESSAGE_INTERVAL_S)
        return QuotaExceededError(
            'the rate limit of the customer is reached',
            retry_after_ms=int(delay_s * MS_PER_S) + 1,
        )

    def _refuse_unavailable(self, name):
        self.unavailable[name] += 1
        return QuotaUnavailableError(
            'no part of the rate limit of the customer was granted in time',
            retry_after_ms=UNAVAILABLE_RETRY_AFTER_MS,
        )

    def _record_availability(self, is_available):
        if is_available != self.is_available:
            self.is_available = is_available
            log_event(
                QUOTA_GRANTED_AGAIN if is_available else QUOTA_UNAVAILABLE
            )

    def counts(self):
        """Return the numbers of requests by customer and result."""
        results = {
            'admitted': self.admitted,
            'refused': self.refused,
            'unavailable': self.unavailable,
        }
        return {
            (customer, result): count
            for result, counter in results.items()
            for customer, count in counter.items()
        }

    def _forget_idle(self, now):
        for name, hand in list(self.hands.items()):
            if hand.is_idle(now):
                del self.hands[name]
                self._limits_logged_at.pop(name, None)
