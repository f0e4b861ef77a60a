"""Proof that what a release lacks is in no newer release either.

Release 1 lacks a customer or route that release 2 has. A node that holds
release 1 gets a request that only release 2 explains, and refuses it, or runs
it as release 1 says, once it has proof. Questions to the controls are shared
by the requests that wait; replies may be late by any time.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['NewestRelease']


class State(NamedTuple):
    """State of the node, its question to the controls and one request.

    Parameters
    ----------
    accepted : int
        Newest accepted release.
    held : int
        Release that the node holds.
    is_asking : bool
        Whether a question is on its way.
    certified : int
        Release that the reply names; 0 until the question is answered.
    is_waiting : bool
        Whether a request waits for a proof.
    is_joined : bool
        Whether the request uses the reply to the question on its way.
    required : int
        Newest accepted release when the request was read.
    is_wrong : bool
        Whether release 1 decided about a request that came after release 2
        was accepted.
    """

    accepted: int = 1
    held: int = 1
    is_asking: bool = False
    certified: int = 0
    is_waiting: bool = False
    is_joined: bool = False
    required: int = 1
    is_wrong: bool = False


@dataclass(frozen=True)
class NewestRelease:
    """Model of the proof that a node holds the newest release.

    Parameters
    ----------
    requires_proof : bool
        The node decides only with a proof.
    joins_later_question : bool
        A request uses only a question that is asked after it was read.
    requires_certification : bool
        A control answers only after a majority has certified its release.
    waits_for_release : bool
        The node decides only once it holds the release in the reply.
    """

    requires_proof: bool = True
    joins_later_question: bool = True
    requires_certification: bool = True
    waits_for_release: bool = True

    def initial(self):
        """Return the state before release 2 and without a request."""
        return State()

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'no outdated release decides what is absent': (
                lambda state: not state.is_wrong
            ),
        }

    def transitions(self, state):
        """Yield all transitions."""
        if state.accepted == 1:
            yield 'release 2 is accepted', state._replace(accepted=2)
        if state.held < state.accepted:
            yield 'the node gets release 2', state._replace(held=2)
        if not state.is_waiting:
            yield (
                'a request is read',
                state._replace(
                    is_waiting=True,
                    is_joined=state.is_asking
                    and not self.joins_later_question,
                    required=state.accepted,
                ),
            )
        yield from self._ask(state)
        yield from self._decide(state)

    def _ask(self, state):
        if not state.is_asking:
            asking = state._replace(is_asking=True, is_joined=state.is_waiting)
            yield 'the node asks', asking
            return
        if not state.certified:
            answered = state._replace(certified=state.accepted)
            yield 'a majority certifies', answered
            if not self.requires_certification:
                yield (
                    'a control that is cut off answers',
                    state._replace(certified=1),
                )
        ended = state._replace(is_asking=False, certified=0, is_joined=False)
        yield 'the reply is lost', ended

    def _decide(self, state):
        if not state.is_waiting:
            return
        ended = state._replace(
            is_waiting=False,
            is_joined=False,
            is_wrong=state.held < state.required,
        )
        if not self.requires_proof:
            yield 'the node decides without a proof', ended
            return
        if not (state.is_joined and state.certified):
            return
        if self.waits_for_release and state.held < state.certified:
            return
        replied = ended._replace(is_asking=False, certified=0)
        yield 'the node decides', replied
