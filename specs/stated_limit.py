"""Rate limit that a target states, across restarts of the node beside it.

The node beside the target enforces the limit and loses it when it restarts.
Another node forwards what the target has stated and tells it back with its
requests. A third node, which has been told nothing, sends requests as well.
Responses may overtake each other, on the way to either node.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['StatedLimit']


class Known(NamedTuple):
    """What a process knows of the target.

    Parameters
    ----------
    incarnation : int
        Incarnation of the target.
    period : int
        Period of the limit in force, 0 without one.
    stated_after : int
        Highest number of a request sent before the limit was last stated.
    observed : bool
        Whether the target itself has responded to this process.
    """

    incarnation: int = 0
    period: int = 0
    stated_after: int = 0
    observed: bool = False


class Response(NamedTuple):
    """Request at the target, and its response once it is given.

    Parameters
    ----------
    number : int
        Number of the request, in the order of sending.
    incarnation : int
        Incarnation of the target that runs it.
    from_told_node : bool
        Whether the node that has been told sent it.
    period : int or None
        Period of the limit that the response states, 0 without one; None while
        the request runs.
    """

    number: int
    incarnation: int
    from_told_node: bool
    period: int | None = None


class State(NamedTuple):
    """State of the target and of two nodes.

    Parameters
    ----------
    incarnation : int
        Incarnation of the target.
    limited : bool
        Whether the target states a limit.
    period : int
        Number of the period of the present or last limit.
    sent : int
        Number of requests sent.
    local, remote : Known
        What the node beside the target, and the other node, know.
    told_period : int
        Last period of which the other node has forwarded a statement.
    at_target, forwarded : frozenset of Response
        Responses on the way to the node beside the target, and from there to
        the other node.
    restarts : int
        Restarts of the node beside the target.
    unlimited : bool
        Whether a request of a node that was told was sent without the limit.
    inherited : bool
        Whether the limit of an earlier incarnation was applied.
    """

    incarnation: int = 1
    limited: bool = False
    period: int = 0
    sent: int = 0
    local: Known = Known()
    remote: Known = Known()
    told_period: int = 0
    at_target: frozenset = frozenset()
    forwarded: frozenset = frozenset()
    restarts: int = 0
    unlimited: bool = False
    inherited: bool = False


@dataclass(frozen=True)
class StatedLimit:
    """Model of a limit that outlives the process that enforces it.

    Parameters
    ----------
    max_requests, max_periods, max_restarts, max_incarnations : int
        Bounds on requests, on periods of limits, on restarts of the node
        beside the target, and on incarnations of the target.
    tells_back : bool
        The other node sends what it knows with its requests.
    orders_responses : bool
        A response ends a limit only if its request was sent after the limit
        was last stated.
    binds_to_incarnation : bool
        A limit applies only to the incarnation that stated it.
    """

    max_requests: int = 3
    max_periods: int = 1
    max_restarts: int = 1
    max_incarnations: int = 2
    tells_back: bool = True
    orders_responses: bool = True
    binds_to_incarnation: bool = True

    def initial(self):
        """Return the state before the first request."""
        return State()

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'no request of a node that was told goes beyond the limit': (
                lambda state: not state.unlimited
            ),
            'no limit passes to the next incarnation': (
                lambda state: not state.inherited
            ),
        }

    def transitions(self, state):
        """Yield all transitions of target and nodes."""
        yield from self._change_target(state)
        if state.restarts < self.max_restarts:
            # Its connections to the target and to the other node are lost.
            restarted = state._replace(
                local=Known(),
                restarts=state.restarts + 1,
                at_target=frozenset(),
                forwarded=frozenset(),
            )
            yield 'the node beside the target restarts', restarted
        if state.sent < self.max_requests:
            yield 'the other node sends a request', self._send(state, True)
            yield 'the third node sends a request', self._send(state, False)
        for response in state.at_target:
            if response.period is None:
                yield self._respond(state, response)
            else:
                yield self._receive(state, response)
        for response in state.forwarded:
            yield self._receive_forwarded(state, response)

    def _change_target(self, state):
        if state.limited:
            yield 'the limit ends', state._replace(limited=False)
        elif state.period < self.max_periods:
            limited = state._replace(limited=True, period=state.period + 1)
            yield 'the target states a limit', limited
        if state.incarnation < self.max_incarnations:
            restarted = state._replace(
                incarnation=state.incarnation + 1,
                limited=False,
                at_target=frozenset(
                    r for r in state.at_target if r.period is not None
                ),
            )
            yield 'the target restarts', restarted

    def _applies(self, known, state):
        """Return whether a process applies a limit to the target."""
        is_current = known.incarnation == state.incarnation
        return known.period > 0 and (
            is_current or not self.binds_to_incarnation
        )

    def _send(self, state, from_told_node):
        local = state.local
        if (
            from_told_node
            and self.tells_back
            and self._applies(state.remote, state)
            and not (local.observed and local.incarnation == state.incarnation)
        ):
            local = Known(state.incarnation, state.remote.period, state.sent)
        applies = self._applies(local, state)
        is_told = from_told_node and state.told_period == state.period
        sent = state.sent + 1
        request = Response(sent, state.incarnation, from_told_node)
        return state._replace(
            sent=sent,
            local=local,
            at_target=state.at_target | {request},
            unlimited=state.unlimited
            or (state.limited and is_told and not applies),
            inherited=state.inherited
            or (applies and local.incarnation != state.incarnation),
        )

    def _respond(self, state, response):
        given = response._replace(period=state.period * state.limited)
        return (
            f'the target responds to request {response.number}',
            state._replace(at_target=state.at_target - {response} | {given}),
        )

    def _receive(self, state, response):
        local = self._update(state.local, response, state.sent, True)
        forwarded = state.forwarded
        if response.from_told_node:
            # The status is that of the process, not of the response alone.
            forwarded |= {response._replace(period=local.period)}
        return (
            f'response {response.number} is received',
            state._replace(
                at_target=state.at_target - {response},
                local=local,
                forwarded=forwarded,
            ),
        )

    def _receive_forwarded(self, state, response):
        is_present = (
            state.limited
            and response.period == state.period
            and response.incarnation == state.incarnation
        )
        return (
            f'response {response.number} is forwarded',
            state._replace(
                forwarded=state.forwarded - {response},
                remote=self._update(state.remote, response, state.sent, False),
                told_period=state.period if is_present else state.told_period,
            ),
        )

    def _update(self, known, response, sent, observed):
        if known.incarnation > response.incarnation:
            return known
        if known.incarnation < response.incarnation:
            known = Known(response.incarnation)
        known = known._replace(observed=known.observed or observed)
        if response.period:
            return known._replace(period=response.period, stated_after=sent)
        if self.orders_responses and response.number <= known.stated_after:
            return known
        return known._replace(period=0)
