"""Log events emitted by voters."""

from snipelead.logs import Event

__all__ = [
    'BECAME_LEADER',
    'CLUSTER_FOUNDED',
    'JOIN_REQUESTED',
    'MEMBERSHIP_CHANGED',
    'QUORUM_LOST',
    'DISK_FULL',
    'DISK_HAS_ROOM',
    'SNAPSHOT_INSTALLED',
    'SNAPSHOT_SAVED',
    'STEPPED_DOWN',
    'TORN_TAIL_CUT',
    'VOTER_FAILED',
    'VOTER_OPENED',
    'WAITING_FOR_VOTERS',
]

VOTER_OPENED = Event(
    1001, 'voter_opened', 'info', 'The data directory was locked and read.'
)
TORN_TAIL_CUT = Event(
    1002,
    'torn_tail_cut',
    'warning',
    'The last write before a crash was incomplete and was truncated; it had'
    ' not been acknowledged.',
)
BECAME_LEADER = Event(
    1003, 'became_leader', 'info', 'This voter became the leader of the term.'
)
STEPPED_DOWN = Event(
    1004, 'stepped_down', 'info', 'This voter is no longer the leader.'
)
SNAPSHOT_SAVED = Event(
    1005,
    'snapshot_saved',
    'info',
    'A snapshot was saved and the log was compacted.',
)
SNAPSHOT_INSTALLED = Event(
    1006,
    'snapshot_installed',
    'info',
    'The state was replaced by a snapshot from the leader.',
)
MEMBERSHIP_CHANGED = Event(
    1007,
    'membership_changed',
    'info',
    'A new configuration was appended to the log.',
)
CLUSTER_FOUNDED = Event(
    1008,
    'cluster_founded',
    'warning',
    'All voters had empty data directories and a new cluster was founded;'
    ' expected at the first start only.',
)
JOIN_REQUESTED = Event(
    1009,
    'join_requested',
    'warning',
    'The data directory was empty while other voters hold a log; this voter'
    ' asked to join as a new member.',
)
WAITING_FOR_VOTERS = Event(
    1010,
    'waiting_for_voters',
    'warning',
    'The data directory is empty and not all voters reply; start all of them.',
)
QUORUM_LOST = Event(
    1011,
    'quorum_lost',
    'error',
    'A majority of the voters lost their disks; see docs/operations.',
)
VOTER_FAILED = Event(
    1012,
    'voter_failed',
    'error',
    'The voter stopped after a failed write or a violated invariant.',
)
DISK_FULL = Event(
    1013,
    'disk_full',
    'error',
    'A write waits for free space in the data directory; until then the'
    ' control takes no part in accepting releases.',
)
DISK_HAS_ROOM = Event(
    1014,
    'disk_has_room',
    'info',
    'The write that waited for free space in the data directory succeeded.',
)
