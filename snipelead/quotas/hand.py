"""Tokens of one customer in the hand of a node."""

from collections import deque
from math import exp
from math import inf

from msgspec import Struct

from snipelead.messages.quotas import QuotaDemand
from snipelead.quotas.budget import HOLD_S
from snipelead.quotas.budget import SETTLE_S

__all__ = ['Admission', 'QuotaHand']

# Time constant of the observed rate. Demand may rise to a multiple within a
# second, so a longer average would lag behind it.
RATE_MEMORY_S = 0.5
# Tokens are asked for ahead for the time until the next message and its reply.
AHEAD_S = 0.35
# A node asks again once less than this share of that demand is in hand.
REFILL_SHARE = 0.5
# Nothing is asked for ahead once a pause is longer than this many average
# intervals between requests: the callers have moved to other nodes.
MAX_PAUSE_INTERVALS = 4.0
# One token is kept in hand for this time after a request, so that the next one
# need not wait for a grant. No message is sent only for that.
STANDING_S = 2.0
# Tokens that expire within this time are given back with the next message and
# asked for anew, since an idle token would lapse before it is of use.
RENEW_S = 0.3


class _Lot(Struct, eq=False):
    """Unused tokens of one grant."""

    left: int
    expires_at: float


class Admission(Struct, eq=False):
    """Permission to send one request to a target.

    Parameters
    ----------
    hand : QuotaHand
        Hand that the token was taken from.
    lot : object
        Grant that the token belongs to.
    admitted_at : float
        Time of the admission in seconds.
    manager : QuotaManager or None
        Manager that admitted the request.
    """

    hand: 'QuotaHand'
    lot: _Lot
    admitted_at: float
    manager: object = None

    def is_valid(self, now):
        """Return whether the request may still be sent."""
        return now - self.admitted_at < SETTLE_S

    async def readmit(self):
        """Return another admission; see :meth:`QuotaManager.readmit`."""
        return await self.manager.readmit(self)

    def renew(self):
        """Return the admission of a further attempt.

        Raises
        ------
        QuotaExceededError
            If there is no token in hand.
        """
        return self.manager.renew(self)


class QuotaHand:
    """Granted tokens of one customer and its demand at this node.

    All times are in seconds of one clock that counts suspended time.

    Parameters
    ----------
    customer : TenantName
        Name of the customer.
    manager : QuotaManager or None
        Manager that the admissions refer to.

    Attributes
    ----------
    lots : deque of _Lot
        Unused tokens in the order of their expiry.
    admitted : deque of Admission
        Requests admitted less than ``SETTLE_S`` ago.
    waiting : int
        Requests that wait for a grant.
    reported : int
        Tokens that the granter was last told of or has granted since.
    blocked_until : float
        Time until which requests without a token are refused at once.
    is_limit_reached : bool
        Whether that is because the customer has reached its limit, not because
        a reserve is used up.
    """

    def __init__(self, customer, manager=None):
        self.customer = customer
        self.manager = manager
        self.lots = deque()
        self.admitted = deque()
        self.waiting = 0
        self.returned = 0
        self.reported = 0
        self.blocked_until = -inf
        self.is_limit_reached = False
        self.rate_per_s = 0.0
        self.rate_updated_at = -inf

    def count_arrival(self, now):
        """Take note of a request of the customer."""
        self.rate_per_s = self._rate(now) + 1 / RATE_MEMORY_S
        self.rate_updated_at = now

    def take(self, now):
        """Use one token.

        Returns
        -------
        Admission or None
            None if there is no token in hand.
        """
        self._expire(now)
        if not self.lots:
            return None
        lot = self.lots[0]
        lot.left -= 1
        if not lot.left:
            self.lots.popleft()
        admission = Admission(self, lot, now, self.manager)
        self.admitted.append(admission)
        return admission

    def refund(self, admission, now):
        """Return the token of a request that was not sent to a target.

        It is lost if the request was admitted too long ago: the granter may
        count it as used by then.
        """
        self._expire(now)
        if admission not in self.admitted:
            return
        self.admitted.remove(admission)
        lot = admission.lot
        if lot.expires_at <= now:
            return
        lot.left += 1
        if lot not in self.lots:
            self.lots.append(lot)
            self.lots = deque(sorted(self.lots, key=lambda x: x.expires_at))

    def add(self, amount, asked_at):
        """Add granted tokens.

        Parameters
        ----------
        amount : int
            Number of tokens.
        asked_at : float
            When the request for them was sent. The grant was made later, so
            that the granter counts them for at least as long as they are
            used here, however long the reply took.
        """
        self.reported += amount
        if amount:
            self.lots.append(_Lot(amount, asked_at + HOLD_S))

    def left(self, now):
        """Return the number of unused tokens."""
        self._expire(now)
        return sum(lot.left for lot in self.lots)

    def needs_grant(self, now):
        """Return whether too few tokens are left for the expected demand."""
        ahead = self._ahead(now)
        return self.waiting > 0 or self.left(now) < ahead * REFILL_SHARE

    def has_report(self, now):
        """Return whether a message that is sent anyway should include this.

        That is the case if fewer tokens are held than the granter assumes, or
        fewer than wanted.
        """
        return self._held(now) < self.reported or self._count_lasting(
            now
        ) < self._wanted(now)

    def is_idle(self, now):
        """Return whether the state of the hand no longer matters."""
        return (
            not self.waiting
            and not self._held(now)
            and now >= self.blocked_until
            and self._rate(now) * AHEAD_S < 0.01
        )

    def make_demand(self, now):
        """Return the demand for the next message.

        Tokens that expire soon, and those beyond twice the expected demand,
        are given up.
        """
        ahead = self._wanted(now)
        left = self.left(now)
        kept = min(self._count_lasting(now), 2 * ahead + self.waiting)
        self._give_up(left - kept)
        held = self._held(now)
        self.reported = held
        return QuotaDemand(
            self.customer,
            self.waiting,
            max(0, ahead - kept),
            held,
            left - kept,
        )

    def _rate(self, now):
        elapsed_s = now - self.rate_updated_at
        return self.rate_per_s * exp(-elapsed_s / RATE_MEMORY_S)

    def _ahead(self, now):
        pause_s = now - self.rate_updated_at
        if pause_s * self.rate_per_s > MAX_PAUSE_INTERVALS:
            return 0
        return int(self._rate(now) * AHEAD_S)

    def _wanted(self, now):
        """Return the number of tokens to have in hand."""
        is_standing = now - self.rate_updated_at <= STANDING_S
        return max(self._ahead(now), int(is_standing))

    def _count_lasting(self, now):
        """Return the number of tokens that do not expire soon."""
        return sum(
            lot.left for lot in self.lots if lot.expires_at > now + RENEW_S
        )

    def _give_up(self, count):
        """Discard tokens, those that expire first before the others."""
        while count > 0:
            lot = self.lots[0]
            given = min(count, lot.left)
            lot.left -= given
            count -= given
            if not lot.left:
                self.lots.popleft()

    def _held(self, now):
        """Return the tokens that may still lead to a request being run."""
        return self.left(now) + len(self.admitted)

    def _expire(self, now):
        while self.lots and self.lots[0].expires_at <= now:
            self.lots.popleft().left = 0
        while self.admitted and not self.admitted[0].is_valid(now):
            self.admitted.popleft()
