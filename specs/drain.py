"""Graceful shutdown of a target while nodes still route requests to it.

Nodes learn late from the directory that a target is leaving and keep sending
requests to it. The target's own node therefore checks the target's state on
arrival of a request and again just before the request starts, since it may
have waited for a slot. The target stops once no request is in flight.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ['Drain']


class Phase(IntEnum):
    """Progress of a request."""

    NEW = 0
    SENT = 1
    ADMITTED = 2
    RUNNING = 3
    COMPLETED = 4
    REFUSED = 5
    ABORTED = 6


class State(NamedTuple):
    """State of the target, its node, the directory and the requests.

    Parameters
    ----------
    leaving : bool
        Whether the target has announced to its node that it is leaving.
    directory_updated : bool
        Whether the sending nodes have the target's state from the directory.
    stopped : bool
        Whether the target has stopped.
    requests : tuple of Phase
        Progress of each request.
    started_late : bool
        Whether a request was started after the announcement.
    """

    leaving: bool
    directory_updated: bool
    stopped: bool
    requests: tuple[Phase, ...]
    started_late: bool = False


_IN_FLIGHT = {Phase.ADMITTED, Phase.RUNNING}


@dataclass(frozen=True)
class Drain:
    """Model of the graceful shutdown of a target.

    Parameters
    ----------
    requests : int
        Bound on the requests sent by nodes.
    checks_on_arrival : bool
        The target's node refuses requests that arrive after the
        announcement; otherwise only the directory stops nodes from sending.
    checks_before_start : bool
        The target's node checks the target's state again before it starts a
        request that waited for a slot.
    waits_for_in_flight : bool
        The target stops only when no request is in flight.
    """

    requests: int = 4
    checks_on_arrival: bool = True
    checks_before_start: bool = True
    waits_for_in_flight: bool = True

    def initial(self):
        """Return the state of a serving target before any request is sent."""
        return State(False, False, False, (Phase.NEW,) * self.requests)

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'no request in flight is aborted': lambda state: (
                Phase.ABORTED not in state.requests
            ),
            'a leaving target starts no request': lambda state: (
                not state.started_late
            ),
        }

    def transitions(self, state):
        """Yield all transitions of the target, its node and the senders."""
        if not state.leaving:
            yield (
                'the target announces that it is leaving',
                state._replace(leaving=True),
            )
        elif not state.directory_updated:
            yield (
                'the nodes receive the directory update',
                state._replace(directory_updated=True),
            )
        if state.leaving and not state.stopped:
            yield from self._stop(state)
        for index, phase in enumerate(state.requests):
            yield from self._request_steps(state, index, phase)

    def _stop(self, state):
        in_flight = _IN_FLIGHT.intersection(state.requests)
        if in_flight and self.waits_for_in_flight:
            return
        requests = tuple(
            Phase.ABORTED if phase in _IN_FLIGHT else phase
            for phase in state.requests
        )
        stopped = state._replace(stopped=True, requests=requests)
        yield 'the target stops', stopped

    def _request_steps(self, state, index, phase):
        match phase:
            case Phase.NEW if not state.directory_updated:
                yield (
                    f'request {index} is sent',
                    _set_phase(state, index, Phase.SENT),
                )
            case Phase.SENT:
                yield self._admit(state, index)
            case Phase.ADMITTED:
                yield self._start(state, index)
            case Phase.RUNNING:
                yield (
                    f'request {index} completes',
                    _set_phase(state, index, Phase.COMPLETED),
                )

    def _admit(self, state, index):
        refuses = state.leaving and self.checks_on_arrival
        if refuses or state.stopped:
            return f'request {index} is refused', _set_phase(
                state, index, Phase.REFUSED
            )
        return f'request {index} is admitted', _set_phase(
            state, index, Phase.ADMITTED
        )

    def _start(self, state, index):
        if state.leaving and self.checks_before_start:
            return f'request {index} is refused', _set_phase(
                state, index, Phase.REFUSED
            )
        started = _set_phase(state, index, Phase.RUNNING)
        started_late = state.started_late or state.leaving
        return f'request {index} starts', started._replace(
            started_late=started_late
        )


def _set_phase(state, index, phase):
    requests = list(state.requests)
    requests[index] = phase
    return state._replace(requests=tuple(requests))
