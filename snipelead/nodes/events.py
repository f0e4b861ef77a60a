"""Log events about the reachability of other nodes."""

from snipelead.logs import Event

__all__ = ['PEER_NODE_LOST', 'PEER_NODE_REACHED']

PEER_NODE_LOST = Event(
    3030,
    'peer_node_lost',
    'warning',
    'Another node cannot be reached and gets no requests until it can.',
)
PEER_NODE_REACHED = Event(
    3031,
    'peer_node_reached',
    'info',
    'A node that was lost takes connections again.',
)
