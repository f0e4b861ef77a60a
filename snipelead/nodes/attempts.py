"""Attempts of requests that may not be repeated, as their gate knows them."""

from enum import Enum

from snipelead.callers.exceptions import AttemptFencedError
from snipelead.callers.exceptions import AttemptSeenError
from snipelead.types import Ran

__all__ = ['AttemptState', 'AttemptTable']


class AttemptState(Enum):
    """How far an attempt came."""

    WAITING = 'waiting'
    SENT = 'sent'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    FENCED = 'fenced'


_RAN = {
    AttemptState.SENT: Ran.UNKNOWN,
    AttemptState.ANSWERED: Ran.YES,
    AttemptState.REFUSED: Ran.NO,
    AttemptState.FENCED: Ran.NO,
}


class AttemptTable:
    """States of recent attempts, bounded by time.

    Age is counted in ticks of this process, not by the clock: a process
    that was frozen must not forget an attempt whose bytes still wait in one
    of its sockets.

    Parameters
    ----------
    retention_ticks : int
        An attempt is remembered for at least this many ticks.
    """

    def __init__(self, retention_ticks):
        self.retention_ticks = retention_ticks
        self.recent = {}
        self.older = {}
        self.ticks = 0

    def tick(self):
        """Let one tick of time pass."""
        self.ticks += 1
        if self.ticks >= self.retention_ticks:
            self.ticks = 0
            self.older = self.recent
            self.recent = {}

    def find(self, attempt_id):
        """Return the state of an attempt, or None when never seen."""
        state = self.recent.get(attempt_id)
        return state or self.older.get(attempt_id)

    def begin(self, attempt_id):
        """Record a new attempt.

        Raises
        ------
        AttemptFencedError
            If the attempt was fenced before.
        AttemptSeenError
            If the attempt was received before.
        """
        match self.find(attempt_id):
            case None:
                self.recent[attempt_id] = AttemptState.WAITING
            case AttemptState.FENCED:
                raise AttemptFencedError('the attempt was withdrawn')
            case state:
                raise AttemptSeenError(
                    'the attempt was received before',
                    ran=_RAN.get(state, Ran.UNKNOWN),
                )

    def mark_sent(self, attempt_id):
        """Record that the request is about to be sent to the target.

        Raises
        ------
        AttemptFencedError
            If the attempt was fenced while it waited.
        """
        if self.find(attempt_id) is AttemptState.FENCED:
            raise AttemptFencedError('the attempt was withdrawn')
        self.recent[attempt_id] = AttemptState.SENT

    def mark(self, attempt_id, state):
        """Record another state of a known attempt."""
        self.recent[attempt_id] = state

    def fence(self, attempt_id):
        """Withdraw an attempt unless it has been sent.

        Returns
        -------
        Ran
            NO when the attempt never ran and now never will.
        """
        state = self.find(attempt_id)
        if state in (None, AttemptState.WAITING):
            self.recent[attempt_id] = AttemptState.FENCED
            return Ran.NO
        return _RAN[state]
