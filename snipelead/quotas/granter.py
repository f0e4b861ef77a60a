"""Grants of tokens of all customers to the nodes."""

from msgspec import Struct

from snipelead.messages.quotas import QuotaGrant
from snipelead.messages.quotas import QuotaReply
from snipelead.quotas.account import QuotaAccount
from snipelead.quotas.budget import LAPSE_S
from snipelead.quotas.budget import MS_PER_S
from snipelead.quotas.budget import TAKEOVER_S

__all__ = ['QuotaGranter']

# Nodes that were silent for this time are forgotten. Their messages cannot
# arrive later than a call times out, and their tokens have lapsed.
HOLDER_MEMORY_S = 60.0
UNKNOWN_RETRY_AFTER_MS = 1_000


class _Holder(Struct):
    """Last message of an incarnation of a node."""

    sequence: int
    seen_at: float


class QuotaGranter:
    """Grants tokens during one term of a leader, or from a reserve.

    All times are in seconds of one clock that counts suspended time.

    Parameters
    ----------
    epoch : str
        Unique name of this granter and its term.
    budget : QuotaBudget
        Bounds on the rate limits.
    started_at : float
        Start of the term, or of the process.
    is_reserve : bool
        Whether this is the reserve of a control.

    Attributes
    ----------
    accounts : dict of TenantName to QuotaAccount
        Accounts of the customers that nodes asked for.
    """

    def __init__(self, epoch, budget, started_at, is_reserve=False):
        self.epoch = epoch
        self.budget = budget
        self.started_at = started_at
        self.is_reserve = is_reserve
        self.accounts = {}
        self.holders = {}
        self.number = 0

    def handle(self, request, customers, now):
        """Return the reply to a node.

        Parameters
        ----------
        request : QuotaRequest
            Demand of the node.
        customers : dict of TenantName to Customer
            Customers of the newest release.
        now : float
            Current time.

        Returns
        -------
        QuotaReply
        """
        key = (request.node_id, request.incarnation)
        holder = self.holders.get(key)
        self.number += 1
        if holder is not None and holder.sequence >= request.sequence:
            return QuotaReply(self.epoch, self.number, self.is_reserve)
        self.holders[key] = _Holder(request.sequence, now)
        received = request.received if request.epoch == self.epoch else 0
        grants = tuple(
            self._grant(
                key, received, demand, customers.get(demand.customer), now
            )
            for demand in request.demands
        )
        return QuotaReply(
            self.epoch,
            self.number,
            self.is_reserve,
            tuple(g for g in grants if g.amount or g.retry_after_ms),
        )

    def forget_idle(self, now):
        """Drop accounts and nodes whose state no longer matters."""
        for name, account in list(self.accounts.items()):
            account.advance(now)
            if account.is_idle:
                del self.accounts[name]
        for key, holder in list(self.holders.items()):
            if now - holder.seen_at > HOLDER_MEMORY_S:
                del self.holders[key]

    def _grant(self, key, received, demand, customer, now):
        if customer is None or not self.budget.is_limited(customer):
            # The release that removed the limit is on its way to the node. A
            # reserve cannot tell, since its release may be the older one.
            if self.is_reserve:
                return QuotaGrant(demand.customer, 0, UNKNOWN_RETRY_AFTER_MS)
            return QuotaGrant(demand.customer, demand.waiting + demand.ahead)
        account = self._account(customer, now)
        account.report(key, received, demand.held, demand.returned, now)
        amount = account.grant(
            key, self.number, demand.waiting, demand.ahead, now
        )
        if amount >= demand.waiting:
            return QuotaGrant(customer.name, amount)
        retry_after_ms = int(account.retry_after_s() * MS_PER_S) + 1
        return QuotaGrant(customer.name, amount, retry_after_ms)

    def _account(self, customer, now):
        """Return the account of a customer, with its present rates."""
        rates = self._rates(customer)
        account = self.accounts.get(customer.name)
        if account is None:
            wait_s = LAPSE_S if self.is_reserve else TAKEOVER_S
            # Starts empty with the term: the granter before may have granted
            # everything up to that time.
            account = self.accounts[customer.name] = QuotaAccount(
                rates, self.started_at, self.started_at + wait_s
            )
        account.set_rates(rates, now)
        return account

    def _rates(self, customer):
        if self.is_reserve:
            return self.budget.reserve_rates(customer)
        return self.budget.leader_rates(customer)
