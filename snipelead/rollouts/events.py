"""Log events of rollouts."""

from snipelead.logs import Event

__all__ = [
    'ROLLOUT_ANSWERED',
    'ROLLOUT_CHANGED',
    'ROLLOUT_DECIDED',
    'ROLLOUT_LEARNED',
    'ROLLOUT_TAKEN_OVER',
]

ROLLOUT_TAKEN_OVER = Event(
    2040,
    'rollout_taken_over',
    'info',
    'This control leads and continues a rollout from the replicated log.',
)
ROLLOUT_DECIDED = Event(
    2041,
    'rollout_decided',
    'info',
    'The leader decided to promote, complete or roll back a version. The'
    ' fields give the reason and the requests sent to the version so far.',
)
ROLLOUT_CHANGED = Event(
    2042,
    'rollout_changed',
    'info',
    'A committed entry of the log changed the phase of a rollout.',
)
ROLLOUT_ANSWERED = Event(
    2043,
    'rollout_answered',
    'info',
    'An order of a rollout or a query of its state was answered.',
)
ROLLOUT_LEARNED = Event(
    3040,
    'rollout_learned',
    'info',
    'This node learned of a new phase of a rollout and applies it.',
)
