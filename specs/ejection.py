"""Ejection of a target that loses requests, and the probe that follows it.

A node sends requests to one target, several at a time. After some failures in
a row the target is ejected; once the ejection has run its time, requests are
sent one at a time until the target responds to one.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ['TargetEjection']


class End(IntEnum):
    """How a request ends."""

    RESPONSE = 0
    FAILURE = 1
    REFUSAL = 2
    # Deadline or disconnect of the caller.
    NOTHING = 3


class Sent(NamedTuple):
    """Request in flight.

    Parameters
    ----------
    number : int
        Number of the request.
    incarnation : int
        Incarnation of the target when it began.
    ejection : int
        Number of the ejection when it began; 0 if there was none.
    is_exclusive : bool
        Whether it began as a probe, and no other may be sent meanwhile.
    """

    number: int
    incarnation: int
    ejection: int
    is_exclusive: bool


class State(NamedTuple):
    """State of the node.

    Parameters
    ----------
    begun : int
        Number of requests begun.
    in_flight : tuple of Sent
        Requests that have not ended.
    incarnation : int
        Incarnation of the target.
    ejection, ejections : int
        Number of the present ejection, 0 if there is none, and of the last.
    is_due : bool
        Whether the present ejection has run its time.
    probe : int
        Number of the request that is the probe; 0 if there is none.
    failures : int
        Failures in a row.
    ejected_wrongly : bool
        Whether a request from before an ejection, or from before the present
        incarnation, has ejected the target.
    restored_wrongly : bool
        Whether a response of an earlier incarnation has ended an ejection.
    """

    begun: int = 0
    in_flight: tuple = ()
    incarnation: int = 1
    ejection: int = 0
    ejections: int = 0
    is_due: bool = False
    probe: int = 0
    failures: int = 0
    ejected_wrongly: bool = False
    restored_wrongly: bool = False


@dataclass(frozen=True)
class TargetEjection:
    """Model of a node and one target.

    Parameters
    ----------
    requests, incarnations, ejections, failures : int
        Bounds on the requests, on the incarnations of the target and on its
        ejections, and the failures in a row that eject it.
    ends_with_request : bool
        The probe ends with its request, however that ends; otherwise only with
        a response, a failure or a refusal.
    ends_with_own_request : bool
        The end of another request does not end the probe.
    limits_probe : bool
        A probe that takes long does not keep the next one away.
    judges_failures : bool
        A failure of a request from before the ejection is ignored.
    failures_bind_to_incarnation, responses_bind_to_incarnation : bool
        A failure of, or a response to, a request of an earlier incarnation is
        ignored.
    """

    requests: int = 5
    incarnations: int = 2
    ejections: int = 2
    failures: int = 2
    ends_with_request: bool = True
    ends_with_own_request: bool = True
    limits_probe: bool = True
    judges_failures: bool = True
    failures_bind_to_incarnation: bool = True
    responses_bind_to_incarnation: bool = True

    def initial(self):
        """Return the state before the first request."""
        return State()

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'a target without a probe is used once its ejection is due': (
                lambda state: (
                    not state.is_due
                    or any(sent.is_exclusive for sent in state.in_flight)
                    or self.is_usable(state)
                )
            ),
            'at most one request is sent at a time': lambda state: (
                sum(
                    sent.is_exclusive and sent.ejection == state.ejection
                    for sent in state.in_flight
                )
                <= 1
            ),
            'no older request ejects a target': lambda state: (
                not state.ejected_wrongly
            ),
            'no older response restores a target': lambda state: (
                not state.restored_wrongly
            ),
        }

    def is_usable(self, state):
        """Return whether a request may be sent."""
        return not state.ejection or (state.is_due and not state.probe)

    def transitions(self, state):
        """Yield all transitions of the node and the target."""
        if state.begun < self.requests and self.is_usable(state):
            yield 'a request begins', self._begin(state)
        for sent in state.in_flight:
            for end in End:
                yield (
                    f'request {sent.number} ends with {end.name}',
                    self._end(state, sent, end),
                )
            if sent.is_exclusive:
                yield (
                    f'request {sent.number} takes long',
                    self._take_long(state, sent),
                )
        if state.ejection and not state.is_due:
            yield 'the ejection is due', state._replace(is_due=True)
        if state.incarnation < self.incarnations:
            yield (
                'the target is restarted',
                _restore(state)._replace(incarnation=state.incarnation + 1),
            )

    def _begin(self, state):
        number = state.begun + 1
        is_probe = state.ejection > 0
        sent = Sent(number, state.incarnation, state.ejection, is_probe)
        return state._replace(
            begun=number,
            in_flight=(*state.in_flight, sent),
            probe=number if is_probe else state.probe,
        )

    def _take_long(self, state, sent):
        in_flight = tuple(
            s._replace(is_exclusive=False) if s is sent else s
            for s in state.in_flight
        )
        is_probe = state.probe == sent.number
        return state._replace(
            in_flight=in_flight,
            probe=0 if self.limits_probe and is_probe else state.probe,
        )

    def _end(self, state, sent, end):
        is_probe = state.probe == sent.number
        state = state._replace(
            in_flight=tuple(s for s in state.in_flight if s is not sent)
        )
        match end:
            case End.RESPONSE:
                state = self._respond(state, sent)
            case End.FAILURE:
                state = self._fail(state, sent, is_probe)
        ends_probe = is_probe or not self.ends_with_own_request
        if ends_probe and (self.ends_with_request or end is not End.NOTHING):
            state = state._replace(probe=0)
        return state

    def _respond(self, state, sent):
        is_of_current_incarnation = sent.incarnation == state.incarnation
        if (
            not is_of_current_incarnation
            and self.responses_bind_to_incarnation
        ):
            return state
        was_wrong = state.ejection > 0 and not is_of_current_incarnation
        return _restore(state)._replace(
            restored_wrongly=state.restored_wrongly or was_wrong
        )

    def _fail(self, state, sent, is_probe):
        is_of_current_incarnation = sent.incarnation == state.incarnation
        is_older = bool(state.ejection) and not is_probe
        if not is_of_current_incarnation and self.failures_bind_to_incarnation:
            return state
        if is_older and self.judges_failures:
            return state
        failures = min(self.failures, state.failures + 1)
        ejects = is_probe or failures == self.failures
        if not ejects or state.ejections == self.ejections:
            return state._replace(failures=failures)
        was_wrong = is_older or not is_of_current_incarnation
        return state._replace(
            failures=failures,
            ejection=state.ejections + 1,
            ejections=state.ejections + 1,
            is_due=False,
            probe=0,
            ejected_wrongly=state.ejected_wrongly or was_wrong,
        )


def _restore(state):
    return state._replace(ejection=0, is_due=False, probe=0, failures=0)
