"""Token bucket of one customer whose tokens are partly held by nodes."""

from collections import deque
from math import ceil
from math import inf

from msgspec import Struct

from snipelead.quotas.budget import LAPSE_S

__all__ = ['QuotaAccount']

# Refused demand is forgotten within about this time.
DENIED_MEMORY_S = 0.5
# Largest part of the tokens left that a node may take for requests that it
# only expects, so that one node does not empty the bucket.
MAX_AHEAD_SHARE = 0.25
# Share of the capacity that is kept for requests that wait.
KEPT_SHARE = 0.5
MAX_RETRY_AFTER_S = 2.0
_ROUNDING = 1e-9


class _Lot(Struct):
    """Tokens of one grant that may still lead to requests being run."""

    holder: object
    number: int
    amount: int
    lapses_at: float


class QuotaAccount:
    """Grants the tokens of one customer.

    The tokens in the bucket and those that nodes may still use never exceed
    the capacity together. New ones are created at the rate of the customer,
    but only while there are fewer. All times are in seconds of one clock that
    counts suspended time.

    Parameters
    ----------
    rates : QuotaRates
        Parameters of the bucket.
    now : float
        Current time.
    takeover_until : float
        Time until which tokens of an earlier granter may exist.
    level : float
        Tokens in the bucket at the start.

    Attributes
    ----------
    outstanding : int
        Tokens that nodes may still use.
    denied : float
        Requests that were refused recently.
    """

    def __init__(self, rates, now, takeover_until=-inf, level=0.0):
        self.rates = rates
        self.updated_at = now
        self.takeover_until = takeover_until
        self.level = level
        self.outstanding = 0
        self.denied = 0.0
        # Both in the order of the grants, which is that of the lapses.
        self.lots = deque()
        self.lots_by_holder = {}

    @property
    def is_idle(self):
        """Whether the account is as full as a new one could be."""
        return not self.outstanding and (
            self.level >= self.rates.capacity - _ROUNDING
        )

    def set_rates(self, rates, now):
        """Change the parameters.

        Tokens that nodes hold stay valid until they lapse.
        """
        if rates == self.rates:
            return
        self.advance(now)
        self.rates = rates
        self.level = max(0.0, min(self.level, self._room()))

    def advance(self, now):
        """Create tokens and drop lapsed ones up to a time.

        Lapses are applied in their order: tokens that were not created because
        the bucket was full must not be created afterwards.
        """
        if now <= self.updated_at:
            return
        elapsed_s = now - self.updated_at
        self.denied *= max(0.0, 1 - elapsed_s / DENIED_MEMORY_S)
        while self.lots and self.lots[0].lapses_at <= now:
            lot = self.lots.popleft()
            self._create_until(lot.lapses_at)
            self._drop(lot)
        self._create_until(now)

    def report(self, holder, received, held, returned, now):
        """Take note of what a node still holds.

        Parameters
        ----------
        holder : Hashable
            Incarnation of a node.
        received : int
            Last grant whose tokens are included in ``held``; later grants may
            still arrive.
        held : int
            Upper bound of the tokens of these grants that may still be used.
        returned : int
            Tokens of these grants that were given up unused.
        now : float
            Current time.
        """
        self.advance(now)
        lots = [
            lot
            for lot in self.lots_by_holder.get(holder, ())
            if lot.number <= received
        ]
        surplus = max(0, sum(lot.amount for lot in lots) - held)
        self.level += min(surplus, returned)
        for lot in lots:
            used = min(surplus, lot.amount)
            lot.amount -= used
            surplus -= used
            self.outstanding -= used
        self.level = max(0.0, min(self.level, self._room()))

    def grant(self, holder, number, waiting, ahead, now):
        """Grant tokens to a node.

        Parameters
        ----------
        holder : Hashable
            Incarnation of a node.
        number : int
            Number of the grant, higher than that of earlier ones.
        waiting, ahead : int
            Requests that wait, and further ones that are expected.
        now : float
            Current time.

        Returns
        -------
        int
            Number of tokens.
        """
        self.advance(now)
        available = int(self.level + _ROUNDING)
        amount = min(waiting, available)
        spare = self.level - amount - KEPT_SHARE * self.rates.capacity
        if spare > 0:
            amount += min(
                ahead, available - amount, ceil(spare * MAX_AHEAD_SHARE)
            )
        if amount:
            self.level -= amount
            self.outstanding += amount
            lot = _Lot(holder, number, amount, now + LAPSE_S)
            self.lots.append(lot)
            self.lots_by_holder.setdefault(holder, deque()).append(lot)
        self.denied += max(0, waiting - amount)
        return amount

    def retry_after_s(self):
        """Return the time until refused requests may find tokens."""
        if not self.rates.rate_per_s:
            return MAX_RETRY_AFTER_S
        missing = self.denied + 1 - self.level
        return min(
            MAX_RETRY_AFTER_S, max(0.0, missing / self.rates.rate_per_s)
        )

    def _room(self):
        return self.rates.capacity - self.outstanding

    def _create_until(self, time):
        takeover_s = max(0.0, min(time, self.takeover_until) - self.updated_at)
        created = (
            takeover_s * self.rates.takeover_rate_per_s
            + (time - self.updated_at - takeover_s) * self.rates.rate_per_s
        )
        # After a lowered limit the level may already be above the room.
        room = max(self.level, self._room())
        self.level = min(room, self.level + created)
        self.updated_at = time

    def _drop(self, lot):
        """Stop counting the oldest lot."""
        self.outstanding -= lot.amount
        holder_lots = self.lots_by_holder[lot.holder]
        holder_lots.popleft()
        if not holder_lots:
            del self.lots_by_holder[lot.holder]
