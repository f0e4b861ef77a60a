"""Log events of the distribution of releases and targets."""

from snipelead.logs import Event

__all__ = [
    'CONTROLS_LEARNED',
    'CONTROL_CURRENT',
    'CONTROL_DOUBTFUL',
    'CONTROL_LOST',
    'CONTROL_REACHED',
    'CONTROL_STALE',
    'CONTROL_SWITCHED',
    'CONTROL_WARM',
    'DELTA_REFUSED',
    'FLOOR_CERTIFIED',
    'FLOOR_UNCERTIFIED',
    'INCARNATION_RAISED',
    'NODE_JOINED',
    'NODE_LEFT',
    'NODE_LOST',
    'PEER_EXPIRED',
    'PEER_LOST',
    'PEER_REACHED',
    'RELEASE_APPLIED',
    'RELEASE_OFFERED',
    'RELEASE_PUBLISHED',
]

RELEASE_PUBLISHED = Event(
    2001,
    'release_published',
    'info',
    'A control started to send a release to its nodes.',
)
NODE_JOINED = Event(
    2002, 'node_joined', 'info', 'A node registered with this control.'
)
NODE_LEFT = Event(
    2003, 'node_left', 'info', 'A node announced that it is stopping.'
)
NODE_LOST = Event(
    2004,
    'node_lost',
    'warning',
    'The lease of a node expired; its targets get no new requests. Check its'
    ' VM unless the node polls another control by now.',
)
CONTROL_WARM = Event(
    2005,
    'control_warm',
    'info',
    'One lease has passed since the start, so the target directory of this'
    ' control is complete.',
)
PEER_REACHED = Event(
    2006,
    'peer_reached',
    'info',
    'Another control is reachable; targets are exchanged with it.',
)
PEER_LOST = Event(
    2007,
    'peer_lost',
    'warning',
    'Another control does not reply; its targets are kept for a limited time.',
)
PEER_EXPIRED = Event(
    2008,
    'peer_expired',
    'warning',
    'Another control did not reply for the limited time for which its targets'
    ' are kept; they are dropped.',
)
RELEASE_OFFERED = Event(
    2009,
    'release_offered',
    'warning',
    'A node holds a newer release than this control, which adopted it and'
    ' distributes it uncertified. Check the connection to the voters.',
)
RELEASE_APPLIED = Event(
    2010, 'release_applied', 'info', 'A node or relay applied a newer release.'
)
DELTA_REFUSED = Event(
    2011,
    'delta_refused',
    'warning',
    'An update did not produce the announced release; it was discarded and a'
    ' full snapshot is requested.',
)
FLOOR_CERTIFIED = Event(
    2012,
    'floor_certified',
    'info',
    'A restarted node received the newest release, as certified by a majority'
    ' of voters.',
)
FLOOR_UNCERTIFIED = Event(
    2013,
    'floor_uncertified',
    'warning',
    'A restarted node serves the highest release it could get, since no'
    ' control could certify a release. Check the voters.',
)
CONTROL_LOST = Event(
    2014,
    'control_lost',
    'warning',
    'A control does not reply to this process, which switches to another.',
)
CONTROL_REACHED = Event(
    2015, 'control_reached', 'info', 'A control replies to this process.'
)
INCARNATION_RAISED = Event(
    2017,
    'incarnation_raised',
    'warning',
    'A control knows a later incarnation of this node. The clock was set'
    ' back; if this repeats, two processes use the same node id.',
)
CONTROL_DOUBTFUL = Event(
    2018,
    'control_doubtful',
    'warning',
    'This control cannot certify with a majority of voters that its release'
    ' is the newest; its nodes switch to others where they can. Check the'
    ' connection to the voters.',
)
CONTROL_CURRENT = Event(
    2019,
    'control_current',
    'info',
    'This control certified again that its release is the newest.',
)
CONTROLS_LEARNED = Event(
    2030,
    'controls_learned',
    'info',
    'The list of controls was received from a control.',
)
CONTROL_STALE = Event(
    2031,
    'control_stale',
    'warning',
    'The control that this process polls is possibly stale; the others are'
    ' asked whether they are current.',
)
CONTROL_SWITCHED = Event(
    2032,
    'control_switched',
    'info',
    'This process leaves a possibly stale control for one that is current.',
)
