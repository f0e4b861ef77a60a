"""Responses that a target sends before it has read the body of a request.

A node sends the requests of a connection one after the other, each in parts,
and stops when a response comes. The kernel tells the node of a reset once, in
whichever call comes first, and of an end of stream that came before a reset
in every receive.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ['EarlyResponse']


class Response(IntEnum):
    """What a target has sent in response to the current request."""

    NONE = 0
    ANSWER = 1
    REFUSAL = 2
    # Without a length: it ends with the stream.
    UNFRAMED = 3


class Stream(IntEnum):
    """Stream from a target to its node."""

    OPEN = 0
    ENDED = 1
    RESET = 2
    ENDED_AND_RESET = 3


class State(NamedTuple):
    """State of a node and of its connection to a target.

    Parameters
    ----------
    begun : int
        Number of requests begun.
    in_use : bool
        Whether a request is being handled.
    is_kept : bool
        Whether a connection is open, in use or idle.
    unsent : int
        Parts of the last request on the connection that were not sent.
    marked : bool
        Whether the node has marked the connection as not reusable.
    response : Response
        Response to the current request.
    stream : Stream
        Stream of the responses.
    is_told : bool
        Whether the kernel has told the node of a reset.
    remembers : bool
        Whether the node remembers that.
    sent_in_body : bool
        Whether a request was sent where the rest of a body was due.
    part_delivered, whole_lost : bool
        Whether a part of a response was delivered as complete, and a complete
        response was not delivered.
    """

    begun: int = 0
    in_use: bool = False
    is_kept: bool = False
    unsent: int = 0
    marked: bool = False
    response: Response = Response.NONE
    stream: Stream = Stream.OPEN
    is_told: bool = False
    remembers: bool = False
    sent_in_body: bool = False
    part_delivered: bool = False
    whole_lost: bool = False


@dataclass(frozen=True)
class EarlyResponse:
    """Model of a connection from a node to a target.

    Parameters
    ----------
    requests, parts : int
        Bounds on the requests, and parts of each.
    marks_before_sending : bool
        The connection is marked before the first part of a request is sent;
        otherwise once an answer has been returned.
    remembers_reset : bool
        The node remembers a reset that a send was told of.
    tells_end_from_reset : bool
        A send that fails after the end of the stream is not taken for a reset.
    """

    requests: int = 3
    parts: int = 3
    marks_before_sending: bool = True
    remembers_reset: bool = True
    tells_end_from_reset: bool = True

    def initial(self):
        """Return the state before the first request."""
        return State()

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'no request is sent within a body': lambda state: (
                not state.sent_in_body
            ),
            'no part of a response is delivered as complete': lambda state: (
                not state.part_delivered
            ),
            'a complete response is delivered': lambda state: (
                not state.whole_lost
            ),
        }

    def transitions(self, state):
        """Yield all transitions of the node and the target."""
        if state.in_use:
            yield from self._send(state)
            yield from self._respond(state)
            yield from self._receive(state)
            yield 'the request is cancelled', _close(state)
        elif state.begun < self.requests:
            yield 'the node begins a request', self._begin(state)

    def _begin(self, state):
        return State(
            begun=state.begun + 1,
            in_use=True,
            is_kept=True,
            unsent=self.parts,
            marked=self.marks_before_sending,
            sent_in_body=state.sent_in_body
            or (state.is_kept and state.unsent > 0),
            part_delivered=state.part_delivered,
            whole_lost=state.whole_lost,
        )

    def _send(self, state):
        if not state.unsent:
            return
        match state.stream:
            case Stream.RESET if not state.is_told:
                yield (
                    'a send is told of the reset',
                    state._replace(
                        is_told=True, remembers=self.remembers_reset
                    ),
                )
            case Stream.ENDED_AND_RESET if not state.is_told:
                yield (
                    'a send fails after the end of the stream',
                    state._replace(
                        is_told=True, remembers=not self.tells_end_from_reset
                    ),
                )
            case Stream.OPEN | Stream.ENDED:
                unsent = state.unsent - 1
                yield (
                    'a part is sent',
                    state._replace(
                        unsent=unsent, marked=state.marked and unsent > 0
                    ),
                )

    def _respond(self, state):
        if state.response is Response.NONE:
            for response in Response:
                if response is not Response.NONE:
                    yield (
                        f'the target sends {response.name}',
                        state._replace(response=response),
                    )
        elif state.response is Response.UNFRAMED:
            match state.stream:
                case Stream.OPEN:
                    yield (
                        'the target ends the stream',
                        state._replace(stream=Stream.ENDED),
                    )
                    yield (
                        'the target resets the connection',
                        state._replace(stream=Stream.RESET),
                    )
                case Stream.ENDED:
                    yield (
                        'the target resets the connection after its end',
                        state._replace(stream=Stream.ENDED_AND_RESET),
                    )

    def _receive(self, state):
        match state.response:
            case Response.ANSWER:
                yield 'the answer is delivered', self._finish(state, True)
            case Response.REFUSAL:
                yield 'the refusal is raised', self._finish(state, False)
            case Response.UNFRAMED if state.stream is not Stream.OPEN:
                yield 'the end is received', self._receive_end(state)

    def _finish(self, state, is_answer):
        marked = state.marked
        if not self.marks_before_sending:
            marked = is_answer and state.unsent > 0
        if marked:
            return _close(state)
        return state._replace(in_use=False)

    def _receive_end(self, state):
        was_reset = state.stream is Stream.RESET
        lost = state.remembers or (was_reset and not state.is_told)
        return _close(state)._replace(
            part_delivered=state.part_delivered or (was_reset and not lost),
            whole_lost=state.whole_lost or (lost and not was_reset),
        )


def _close(state):
    return state._replace(
        in_use=False,
        is_kept=False,
        unsent=0,
        marked=False,
        response=Response.NONE,
        stream=Stream.OPEN,
        is_told=False,
        remembers=False,
    )
