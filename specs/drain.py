"""A target leaves while nodes still believe that it takes work.

The directory reaches nodes late, so they go on sending; the gate, which is
the target's own node, looks at the target's state just before a request
begins, also one that has waited for a slot. The target stops when nothing is
in flight.
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
    ANSWERED = 4
    REFUSED = 5
    CUT = 6


class State(NamedTuple):
    """State of the target, its gate and the requests.

    Parameters
    ----------
    leaving : bool
        Whether the target has announced to its gate that it leaves.
    told : bool
        Whether the directory has told the sending nodes.
    stopped : bool
        Whether the target has stopped.
    requests : tuple of Phase
        Progress of each request.
    begun_late : bool
        Whether a request began after the announcement.
    """

    leaving: bool
    told: bool
    stopped: bool
    requests: tuple[Phase, ...]
    begun_late: bool = False


_IN_FLIGHT = {Phase.ADMITTED, Phase.RUNNING}


@dataclass(frozen=True)
class Drain:
    """Model of a planned stop of a target.

    Parameters
    ----------
    requests : int
        Bound: requests sent by nodes.
    checks_at_arrival : bool
        The gate refuses requests that arrive after the announcement;
        otherwise only the directory keeps nodes from sending.
    checks_at_start : bool
        The gate looks at the target's state again when a request that
        waited for a slot is about to begin.
    waits_for_in_flight : bool
        The target stops only when nothing is in flight.
    """

    requests: int = 4
    checks_at_arrival: bool = True
    checks_at_start: bool = True
    waits_for_in_flight: bool = True

    def initial(self):
        """Return the state of a serving target without requests."""
        return State(False, False, False, (Phase.NEW,) * self.requests)

    def invariants(self):
        """Return what callers and the platform rely on."""
        return {
            'no request in flight is cut': lambda state: (
                Phase.CUT not in state.requests
            ),
            'a leaving target begins no work': lambda state: (
                not state.begun_late
            ),
        }

    def transitions(self, state):
        """Yield all steps of target, gate, directory and nodes."""
        if not state.leaving:
            yield 'the target announces leaving', state._replace(leaving=True)
        elif not state.told:
            yield 'the directory tells the nodes', state._replace(told=True)
        if state.leaving and not state.stopped:
            yield from self._stop(state)
        for number, phase in enumerate(state.requests):
            yield from self._request_steps(state, number, phase)

    def _stop(self, state):
        in_flight = _IN_FLIGHT.intersection(state.requests)
        if in_flight and self.waits_for_in_flight:
            return
        requests = tuple(
            Phase.CUT if phase in _IN_FLIGHT else phase
            for phase in state.requests
        )
        stopped = state._replace(stopped=True, requests=requests)
        yield 'the target stops', stopped

    def _request_steps(self, state, number, phase):
        match phase:
            case Phase.NEW if not state.told:
                yield f'{number} is sent', _put(state, number, Phase.SENT)
            case Phase.SENT:
                yield self._admit(state, number)
            case Phase.ADMITTED:
                yield self._start(state, number)
            case Phase.RUNNING:
                yield f'{number} ends', _put(state, number, Phase.ANSWERED)

    def _admit(self, state, number):
        refuses = state.leaving and self.checks_at_arrival
        if refuses or state.stopped:
            return f'{number} is refused', _put(state, number, Phase.REFUSED)
        return f'{number} is admitted', _put(state, number, Phase.ADMITTED)

    def _start(self, state, number):
        if state.leaving and self.checks_at_start:
            return f'{number} is refused', _put(state, number, Phase.REFUSED)
        begun = _put(state, number, Phase.RUNNING)
        begun_late = state.begun_late or state.leaving
        return f'{number} begins', begun._replace(begun_late=begun_late)


def _put(state, number, phase):
    requests = list(state.requests)
    requests[number] = phase
    return state._replace(requests=tuple(requests))
