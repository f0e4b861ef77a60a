"""States of attempts that must not be repeated, kept by the target's node."""

from enum import Enum

from snipelead.callers.exceptions import AttemptFencedError
from snipelead.callers.exceptions import DuplicateAttemptError
from snipelead.types import Ran

__all__ = ['AttemptState', 'AttemptTable']


class AttemptState(Enum):
    """Progress of an attempt."""

    WAITING = 'waiting'
    SENT = 'sent'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    FENCED = 'fenced'


_RAN_BY_STATE = {
    AttemptState.SENT: Ran.UNKNOWN,
    AttemptState.ANSWERED: Ran.YES,
    AttemptState.REFUSED: Ran.NO,
    AttemptState.FENCED: Ran.NO,
}


class AttemptTable:
    """States of recent attempts.

    The age of an attempt is counted in ticks of this process, not by the
    clock. After being suspended, the process must not forget an attempt whose
    bytes are still in one of its socket buffers.

    Parameters
    ----------
    retention_ticks : int
        Minimum number of ticks for which an attempt is remembered.

    Attributes
    ----------
    current, previous : dict of AttemptId to AttemptState
        Attempts of the current and of the previous retention period.
    ticks : int
        Ticks since the current period began.
    """

    def __init__(self, retention_ticks):
        self.retention_ticks = retention_ticks
        self.current = {}
        self.previous = {}
        self.ticks = 0

    def tick(self):
        """Advance the age of all attempts by one tick."""
        self.ticks += 1
        if self.ticks >= self.retention_ticks:
            self.ticks = 0
            self.previous = self.current
            self.current = {}

    def find(self, attempt_id):
        """Return the state of an attempt, or None if it is unknown."""
        state = self.current.get(attempt_id)
        return state or self.previous.get(attempt_id)

    def begin(self, attempt_id):
        """Record a new attempt.

        Raises
        ------
        AttemptFencedError
            If the attempt was fenced before.
        DuplicateAttemptError
            If the attempt was received before.
        """
        match self.find(attempt_id):
            case None:
                self.current[attempt_id] = AttemptState.WAITING
            case AttemptState.FENCED:
                raise AttemptFencedError('the attempt was fenced')
            case state:
                raise DuplicateAttemptError(
                    'the attempt was received before',
                    ran=_RAN_BY_STATE.get(state, Ran.UNKNOWN),
                )

    def mark_sent(self, attempt_id):
        """Record that the request is about to be sent to the target.

        Raises
        ------
        AttemptFencedError
            If the attempt was fenced while it waited.
        """
        if self.find(attempt_id) is AttemptState.FENCED:
            raise AttemptFencedError('the attempt was fenced')
        self.current[attempt_id] = AttemptState.SENT

    def set_state(self, attempt_id, state):
        """Set the state of an attempt."""
        self.current[attempt_id] = state

    def fence(self, attempt_id):
        """Prevent an attempt from being sent if it has not been sent yet.

        Returns
        -------
        Ran
            NO if the attempt has not run and never will, YES if its target
            has responded, otherwise UNKNOWN.
        """
        state = self.find(attempt_id)
        if state in (None, AttemptState.WAITING):
            self.current[attempt_id] = AttemptState.FENCED
            return Ran.NO
        return _RAN_BY_STATE[state]
