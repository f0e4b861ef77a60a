"""Grants of parts of the customers' rate limits to nodes."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.types import Count
from snipelead.types import Incarnation
from snipelead.types import Milliseconds
from snipelead.types import NodeId
from snipelead.types import TenantName

__all__ = [
    'ForwardedQuotaRequest',
    'QuotaDemand',
    'QuotaGrant',
    'QuotaReply',
    'QuotaRequest',
]


class QuotaDemand(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Demand of one customer at a node.

    Parameters
    ----------
    customer : TenantName
        Name of the customer.
    waiting : int
        Requests that wait for a grant.
    ahead : int
        Tokens wanted for requests that are expected until the next message.
    held : int
        Upper bound of the granted tokens that may still lead to a request
        being run: those in hand and those of requests that were just
        admitted.
    returned : int
        Tokens that the node gave up unused since its last message.
    """

    customer: TenantName
    waiting: Count = 0
    ahead: Count = 0
    held: Count = 0
    returned: Count = 0


class QuotaRequest(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Request of a node for tokens of the customers that it has demand for.

    Parameters
    ----------
    node_id : NodeId
        The node.
    incarnation : Incarnation
        Incarnation of the node.
    sequence : int
        Number of this message; a granter drops a message that is not newer
        than the last one of the incarnation.
    epoch : str
        Epoch of the last reply that the node processed.
    received : int
        Number of that reply.
    demands : tuple of QuotaDemand
        Customers with demand, or with tokens to report.
    """

    node_id: NodeId
    incarnation: Incarnation
    sequence: Count
    epoch: str = ''
    received: Count = 0
    demands: tuple[QuotaDemand, ...] = ()


class ForwardedQuotaRequest(Struct, frozen=True, array_like=True):
    """Request of a node that its control forwards to the leader.

    Parameters
    ----------
    request : QuotaRequest
        Request of the node.
    """

    request: QuotaRequest


class QuotaGrant(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Tokens granted to a node.

    Parameters
    ----------
    customer : TenantName
        Name of the customer.
    amount : int
        Number of tokens.
    retry_after_ms : int
        Time until a token may be available again, in milliseconds, if fewer
        tokens were granted than requests wait; otherwise 0.
    """

    customer: TenantName
    amount: Count = 0
    retry_after_ms: Milliseconds = 0


class QuotaReply(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Reply to a :class:`QuotaRequest`.

    Parameters
    ----------
    epoch : str
        Identifies the granter and its term.
    number : int
        Number of the reply; replies of one epoch are numbered upwards.
    is_reserve : bool
        Whether the tokens come from the reserve of a control that does not
        reach a majority.
    grants : tuple of QuotaGrant
        Grants by customer.
    """

    epoch: str
    number: Count
    is_reserve: bool = False
    grants: tuple[QuotaGrant, ...] = ()


register_reply(QuotaRequest, QuotaReply)
register_reply(ForwardedQuotaRequest, QuotaReply)
