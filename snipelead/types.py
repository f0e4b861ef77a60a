"""Identifier types and enumerations shared by all packages."""

from enum import Enum
from typing import NewType

ControlId = NewType('ControlId', str)
NodeId = NewType('NodeId', str)
TargetId = NewType('TargetId', str)
ZoneName = NewType('ZoneName', str)
RegionName = NewType('RegionName', str)
ServiceName = NewType('ServiceName', str)
RouteName = NewType('RouteName', str)
SettingName = NewType('SettingName', str)
TenantName = NewType('TenantName', str)
ApiKey = NewType('ApiKey', str)
NoteId = NewType('NoteId', str)
ReleaseNumber = NewType('ReleaseNumber', int)
Digest = NewType('Digest', str)
Incarnation = NewType('Incarnation', int)
UNKNOWN_INCARNATION = Incarnation(0)
AttemptId = NewType('AttemptId', str)
ClaimId = NewType('ClaimId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
# Digest that is equal for all copies of a request.
Fingerprint = NewType('Fingerprint', bytes)
# IP address and port, separated by a colon.
Address = NewType('Address', str)


class RequestClass(Enum):
    """Class of a request; determines its share of a target's slots."""

    INTERACTIVE = 'interactive'
    ONCE = 'once'
    BATCH = 'batch'


class Ran(Enum):
    """Whether a target ran a request."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class OutcomeKind(Enum):
    """Outcome of a submitted release note."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class TargetState(Enum):
    """Life cycle state of an announced target."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    GONE = 'gone'


class Preference(Enum):
    """Optimization goal of the distribution of releases.

    CONVERGENCE minimizes the time until nodes confirm a release, BYTES the
    amount of data sent.
    """

    CONVERGENCE = 'convergence'
    BYTES = 'bytes'


class MembershipSource(Enum):
    """How a process learns the addresses of the control processes."""

    # The settings list all control processes.
    FIXED = 'fixed'
    # The settings list initial control processes, which report all others.
    LEARNED = 'learned'


class ControlRole(Enum):
    """Role of a control process in the replication of the log."""

    VOTER = 'voter'
    RELAY = 'relay'
